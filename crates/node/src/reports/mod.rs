//! What runners and the host list say of runners.
//!
//! Only the owner of a pool asks the pool's runners, so the number of calls
//! grows with the runners and not with the hosts. [`ReportsActor`] runs on the
//! control thread, asks in turns, and passes on what it hears. A runner counts
//! as leaving when any of three says so: the configuration, the host list, or
//! its own answer. It counts as staying only when all three say so.

mod actor;
mod answer;
mod client;
mod event;
mod presence;
mod watched;

pub use self::{
    actor::{ReportsActor, WatchRunners},
    event::{RunnerEvent, RunnerEventKind},
    watched::WatchedRunner,
};
