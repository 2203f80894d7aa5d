//! Experiments with the scheduling decisions, in virtual time.
//!
//! The real [`comfreyway_core::pool::Pool`] is driven with a seeded load against
//! a cost model of the engines, next to baselines in the same run. It is no
//! cluster simulator: one pool owner, engines that follow a cost model, and
//! fixed times for messages.
//!
//! - `workload` and `users` make the arrivals, `fleet` the engines.
//! - `engine` and `cache` are the cost model.
//! - `run` drives a `scheduler` through a `scenario`; `track` keeps what became
//!   of each request, `score` turns it into figures.
//! - `bound` is the upper bound, `targets` what the figures are held to, and
//!   `report` prints both.

mod baseline;
mod bound;
mod cache;
mod engine;
mod fleet;
mod matrix;
mod report;
mod run;
mod run_engines;
mod scenario;
mod scheduler;
mod score;
mod targets;
mod track;
mod users;
mod workload;

pub use self::{
    matrix::{Case, Row, Selection, run_all},
    report::{csv, table},
    scenario::Scenario,
    scheduler::Policy,
    score::{Score, TierScore},
    targets::{Check, check},
    users::{AYAQ, DERWENT},
    workload::Workload,
};
