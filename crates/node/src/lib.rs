//! The library under the daemon.
//!
//! One control thread holds the decisions' state ([`control`]); the HTTP
//! workers carry traffic. They meet in typed messages only: a worker asks once
//! per request and reports once per outcome, never per token. [`settings`]
//! holds what differs from host to host, [`cli`] the daemon's command line.
//! [`logging`] writes the log without ever blocking.
//! [`http`] is the callers' interface, [`metrics`] and [`events`] show what it does.
//! [`peers`] holds the sessions between daemons, [`config`] the operators'
//! configuration, [`operator`] their HTTP interface.
//! [`fleet`] serves a fleet whose platform keeps configuration and runners in a
//! store.
//! [`peers`] holds the sessions between daemons, [`membership`] the records of
//! hosts and pools in the key-value service.

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
pub mod trace;
mod upstream;
