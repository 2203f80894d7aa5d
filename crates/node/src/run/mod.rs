//! Starts all parts of a daemon and stops them.
//!
//! [`run()`] binds the sockets first, then starts the control thread, then the
//! HTTP servers. A stop proceeds in the opposite order: new requests are
//! refused, those in progress are completed, and the process ends when every
//! caller has its response.

mod control_thread;
mod daemon;
mod error;
mod initial;
mod listeners;
mod main;
mod platform;
mod results;
mod stop;

pub(crate) use self::listeners::{Listeners, local_address};
pub use self::{daemon::run, error::RunError, main::main};
