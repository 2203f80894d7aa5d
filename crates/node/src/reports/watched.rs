//! Runners that are polled for reports.

use std::net::SocketAddr;

use comfreyway_core::ids::{PoolId, RunnerName};

/// A runner that is polled for reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchedRunner {
    /// The pool that the runner belongs to.
    pub pool: PoolId,
    /// The runner's name.
    pub name: RunnerName,
    /// The runner's address.
    pub address: SocketAddr,
    /// True for a model engine, which reports cache events as well.
    pub engine: bool,
}
