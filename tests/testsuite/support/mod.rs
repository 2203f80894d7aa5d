//! Real daemons, callers and configurations for the tests.
//!
//! A test starts stand-ins, writes a [`Fixture`] configuration that refers to
//! them, starts daemons and waits until they are ready. Every daemon is killed
//! by its process ID when its test passes or panics, and its log is printed if
//! the test fails.

mod caller;
mod daemon;
mod fixture;
pub(crate) mod raw;
mod seed;

pub(crate) use self::{
    caller::{Caller, Response, chat},
    daemon::Daemon,
    fixture::Fixture,
    seed::seed,
};
