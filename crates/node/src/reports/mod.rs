//! Reports of runners and of the host list.
//!
//! Only the owner of a pool polls the pool's runners, so the number of calls
//! grows with the number of runners and not with that of hosts. [`ReportsActor`]
//! runs on the control thread, polls periodically, and sends the results to the
//! owner. A runner counts as leaving while any of three sources says so: the
//! configuration, the host list, or its own responses.

mod actor;
mod client;
mod event;
mod leaving;
mod response;
mod watched;

pub use self::{
    actor::{ReportsActor, WatchRunners},
    event::{RunnerEvent, RunnerEventKind},
    watched::WatchedRunner,
};
