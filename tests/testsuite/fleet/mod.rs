//! Serving a fleet through the platform's store, with real daemons.

mod answers;
mod configuration;
mod garbage;
mod hosts;
mod requests;
mod runners;
pub(crate) mod site;
mod soak;
mod stopping;
