//! Discrete-event simulation of the scheduling decisions, in virtual time.
//!
//! Runs the real [`comfreyway_core::pool::Pool`] with a seeded load against a
//! cost model of the engines, and baselines with the same load. The simulation
//! covers one pool owner, not a cluster, and messages take a fixed time.
//!
//! - `workload` and `users` generate the arrivals, `fleet` the engines.
//! - `engine` and `cache` are the cost model of an engine.
//! - `run` and `engine_events` simulate a `scheduler` in a `scenario`.
//!   `timeline` records the course of each request, `score` computes figures
//!   from it, and `matrix` runs all cases.
//! - `bound` computes an upper bound, `targets` checks the figures against the
//!   targets, and `report` prints both.

mod baseline;
mod bound;
mod cache;
mod engine;
mod engine_events;
mod fleet;
mod matrix;
mod report;
mod run;
mod scenario;
mod scheduler;
mod score;
mod targets;
mod timeline;
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
