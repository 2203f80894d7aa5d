//! Real daemon processes.
//!
//! Each process gets its settings file in a temporary directory, is polled until
//! it is ready, and is killed by its process ID, on drop at the latest.

mod address;
mod process;
mod settings;
mod signal;
mod spawn;
mod temp_dir;
mod wait;

pub(crate) use self::{address::unique_address, signal::send};
pub use self::{
    address::unused_address,
    process::DaemonProcess,
    settings::DaemonSettings,
    signal::Signal,
    spawn::spawn,
    temp_dir::TempDir,
    wait::{MAX_WAIT, eventually},
};
