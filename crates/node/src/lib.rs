//! The library under the daemon.
//!
//! One control thread holds the decisions' state ([`control`]); the HTTP
//! workers carry traffic. They meet in typed messages only: a worker asks once
//! per request and reports once per outcome, never per token. [`settings`]
//! holds what differs from host to host, [`cli`] the daemon's command line.

pub mod cli;
pub mod control;
pub mod events;
pub mod metrics;
pub mod settings;
