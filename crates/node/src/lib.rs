//! Library of the `comfreywayd` daemon.
//!
//! One control thread owns the scheduling state ([`control`]) and HTTP workers
//! handle callers' requests. They communicate by typed messages only: a worker
//! submits each request once and reports its progress, never single tokens.
//!
//! - [`http`] serves callers, [`operator`] and [`health`] serve operators.
//! - [`fleet`] schedules for a fleet whose platform keeps configuration and
//!   runners in a store.
//! - [`peers`] holds the sessions between daemons, [`membership`] the records
//!   of hosts and pools in the key-value service.
//! - [`config`] holds the operators' configuration, [`settings`] the settings
//!   of this host, [`cli`] the daemon's command line.
//! - `caller_memory` is the account of what callers make this host hold.
//! - [`metrics`], [`events`] and [`logging`] show what the daemon does. Logging
//!   never blocks.

mod caller_memory;
pub mod cli;
pub mod config;
pub mod control;
pub mod events;
pub mod fleet;
pub mod health;
pub mod http;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod reports;
mod results;
pub mod run;
pub mod settings;
mod tcp;
pub mod trace;
mod upstream;
