//! The state of one host as reported by its control thread.

use comfreyway_core::ids::{Epoch, HostId, PoolId};

/// State of one owned pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// Epoch of this owner.
    pub epoch: Epoch,
    /// Waiting requests from all entries.
    pub waiting: usize,
    /// Granted requests whose end has not been reported.
    pub in_progress: usize,
}

/// State of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlStatus {
    /// The host.
    pub host: HostId,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Requests of this host that wait for a grant.
    pub waiting: usize,
    /// Requests of this host whose dispatch has not ended.
    pub in_progress: usize,
    /// Pools that this host owns.
    pub owned: Vec<PoolStatus>,
}
