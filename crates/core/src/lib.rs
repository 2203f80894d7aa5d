//! Decision logic of the scheduler.
//!
//! This crate performs no I/O and has no clock, socket, thread, global state or
//! source of randomness. Callers pass in the current time and every event, and
//! carry out the returned actions. The same code therefore runs in the daemon,
//! in the differential tests, and in the experiment tool.
//!
//! - [`pool`] ranks waiting requests and grants them to runners, on the host
//!   that owns the pool.
//! - [`owner`] deduplicates repeated requests by idempotency key, on the pool's
//!   owner.
//! - [`entry`] tracks each request on the host that accepted it, and is the
//!   only module that decides whether a request is dispatched.
//! - [`cluster`] decides which hosts are up and which one owns a pool.
//! - [`prompt`] counts a prompt's tokens and hashes its blocks.
//! - [`fleet`] shares state and scheduling decisions among the hosts of a
//!   fleet.
//! - [`config`] validates, merges and distributes the operators' configuration.

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
