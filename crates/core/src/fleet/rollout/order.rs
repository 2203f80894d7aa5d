//! What operators order, and what the store keeps of a rollout.

use std::time::Duration;

use crate::fleet::RunnerVersion;

/// Limits on what an untested version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Fraction of an upstream's requests since the order.
    pub exposure_share: f64,
    /// Requests in addition to that fraction.
    pub exposure_slack: f64,
}

/// An operator's order to move an upstream to another version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The version that shall serve all requests.
    pub target: RunnerVersion,
    /// Time from the order within which the rollout ends.
    pub duration: Duration,
    /// Revision of the store at which the order was written.
    pub revision: u64,
}

/// State of a rollout as the operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// Requests move to the target version.
    Active,
    /// The target version serves all requests; the other runners are stopped.
    Completed,
    /// The target version is bad and serves no requests.
    RolledBack,
}

/// What the store says of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The ordered version.
    pub target: RunnerVersion,
    /// State of the rollout.
    pub state: RolloutState,
}

/// What a coordinator keeps in the store for the next one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutProgress {
    /// Requests granted since the order.
    pub granted: f64,
    /// Those of them granted to runners of the target version.
    pub exposed: f64,
    /// Versions that served before.
    pub former: Vec<RunnerVersion>,
}
