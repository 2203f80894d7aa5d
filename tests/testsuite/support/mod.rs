//! Real daemons, callers and configurations for the tests.
//!
//! A test starts stand-ins, writes a [`Fixture`] configuration that names them,
//! starts daemons, and waits for their readiness. Every daemon is ended by its
//! process number when its test ends, whichever way that is, and its log is
//! printed if the test fails.

mod caller;
mod daemon;
mod fixture;
mod seed;

pub(crate) use self::{
    caller::{Answer, Caller, chat},
    daemon::Daemon,
    fixture::Fixture,
    seed::seed,
};
