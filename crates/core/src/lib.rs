//! Decisions of the scheduler.
//!
//! This package performs no input or output. It owns no clock, socket, thread,
//! global, or random source: the current time and every event are arguments,
//! and every effect is a returned action. The same code therefore runs in the
//! daemon, in the differential tests, and in the experiment tool.
//!
//! - [`pool`] ranks waiting requests and grants them to runners (pool owner).
//! - [`owner`] knows repeated requests by their identity, beside the pool.
//! - [`entry`] holds the life cycle of each request on the host that accepted
//!   it, and is the only place that decides whether a request is dispatched.
//! - [`cluster`] decides who is alive and who owns a pool.
//! - [`prompt`] counts a prompt's tokens and hashes its blocks.
//! - [`fleet`] is what the hosts of one fleet know and how they share decisions.
//! - [`config`] is the operators' configuration, its validation and merging.

pub mod cluster;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod ids;
pub mod outcome;
pub mod owner;
pub mod pool;
pub mod prompt;
pub mod request;
mod request_id_serde;
pub mod time;
