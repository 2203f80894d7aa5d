//! Real daemon processes.
//!
//! The settings file is written to a directory of its own, readiness is asked
//! for until it is given, and the process is ended by its number, on drop at
//! the latest.

mod address;
mod process;
mod settings;
mod signal;
mod spawn;
mod temp_dir;
mod wait;

pub(crate) use self::address::own_address;
pub use self::{
    address::unused_address,
    process::DaemonProcess,
    settings::DaemonSettings,
    signal::Signal,
    spawn::spawn,
    temp_dir::TempDir,
    wait::{MAX_WAIT, eventually},
};
