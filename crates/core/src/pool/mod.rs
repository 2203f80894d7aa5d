//! Scheduling decisions of the pool owner: which request runs next, on which
//! runner, and which request is refused.
//!
//! One [`Pool`] holds the waiting requests of one pool and the granted requests
//! that have not ended. [`Pool::handle`] takes one typed input and the current
//! time, and appends the resulting actions to the caller's buffer.
//!
//! Main modules:
//!
//! - `submit` computes a request's rank, `shed` admits or refuses it, and
//!   `queues` stores it in one `fair` queue per tier and length class.
//! - `deferral` defers requests for the runner that caches their prefix.
//! - `grant` selects the first request for which `table` lists a runner with
//!   capacity, and `placement` chooses the runner by `rates`, `limits` and
//!   `prefix`.
//! - `progress` handles the reports of entries and runners and updates the
//!   learned estimates; `removal` handles removed runners and entries that are
//!   down.
//! - `timers` stores every timer of the pool.
//!
//! No decision iterates over all waiting requests or all runners.

mod action;
mod active_request;
mod budget;
mod counters;
mod deferral;
mod estimate;
mod external_load;
mod fair;
mod grant;
mod grant_rate;
mod hash;
mod input;
mod inspect;
mod limits;
mod placement;
mod prefix;
mod progress;
mod queues;
mod rates;
mod removal;
mod request;
mod runner;
mod settings;
mod shed;
mod state;
mod submit;
mod table;
mod tightest;
mod timers;
mod view;

pub use self::{
    action::PoolAction,
    counters::PoolCounters,
    estimate::Estimate,
    input::{CacheEvent, LoadReport, PoolInput},
    request::LengthClass,
    runner::RunnerSpec,
    settings::PoolSettings,
    state::Pool,
    view::{Explanation, PoolSizes, Rank, RequestState, RunnerView, TierView, WaitCause},
};
