//! Starts every part of a daemon and stops it.
//!
//! [`run()`] binds the sockets first, then starts the control thread, then the
//! servers. A stop goes the other way: new work is refused, what is in
//! progress is finished, and the process ends when every caller has its answer.

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
