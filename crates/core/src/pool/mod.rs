//! The pool owner's decisions: which request runs next, where, and which is
//! refused.
//!
//! One [`Pool`] holds the waiting records of one pool and knows exactly what it
//! has granted. [`Pool::handle`] takes one typed input and the time, and appends
//! the resulting actions to the caller's buffer.
//!
//! How the parts meet:
//!
//! - `submit` works out a request's rank, `shed` admits or refuses it, and
//!   `queues` keeps it: one `fair` queue per tier and length class.
//! - `hold` keeps requests back for the runner that has their prefix.
//! - `grant` takes the first request for which `table` has a runner with room,
//!   and `placement` chooses the runner by `rates`, `limit` and `prefix`.
//! - `progress` learns from what entries report, and `departure` handles
//!   entries and runners that are gone.
//! - `timers` holds every point in time at which something changes by itself.
//!
//! No decision passes over all waiting requests or all runners.

mod action;
mod budget;
mod counters;
mod departure;
mod drain;
mod estimate;
mod fair;
mod flight;
mod foreign;
mod grant;
mod hash;
mod hold;
mod input;
mod limit;
mod placement;
mod prefix;
mod progress;
mod queues;
mod rates;
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
mod views;

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
