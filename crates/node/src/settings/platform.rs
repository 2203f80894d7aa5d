//! Settings of the platform that hosts share.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use comfreyway_core::{
    fleet::{QuotaTolerance, RetryBudgetLimits, RolloutLimits},
    ids::RegionName,
};

/// The platform that hosts share.
#[derive(Clone, Debug, PartialEq)]
pub enum Platform {
    /// State is kept in this process, for evaluation.
    Embedded {
        /// File with the initial configuration.
        initial_configuration: Option<PathBuf>,
    },
    /// A store in which comfreyway keeps its own configuration with classes and
    /// pools. The platform's runner entries in it show which runners are
    /// leaving.
    ClassStore {
        /// Address of the store.
        store: SocketAddr,
    },
    /// A store in which the platform's operators write the configuration and
    /// the runners of a fleet.
    FleetStore(FleetSettings),
}

/// Fraction of the key revocation time for which a configuration counts as
/// current after it was last verified. The rest allows for delayed watch events
/// and the latency of the store.
const STALENESS_FRACTION: f64 = 0.7;

/// Settings of a host whose platform has a fleet store.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Region of this host.
    pub region: RegionName,
    /// Time within which every host refuses a revoked key.
    pub key_revocation: Duration,
    /// Time after which the store's entry of a host that is down expires.
    pub host_lease: Duration,
    /// Limits of the budget for retries.
    pub retry: RetryBudgetLimits,
    /// By how much the quotas of workspaces may be exceeded.
    pub quotas: QuotaTolerance,
    /// What a version that is being rolled out may get; none if orders are ignored.
    pub rollouts: Option<RolloutLimits>,
}

impl FleetSettings {
    /// Returns the longest time since the configuration was last verified as
    /// current for which requests with keys are accepted.
    #[must_use]
    pub fn max_staleness(&self) -> Duration {
        self.key_revocation.mul_f64(STALENESS_FRACTION)
    }
}
