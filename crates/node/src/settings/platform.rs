//! The way to the platform.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use comfreyway_core::{
    fleet::{QuotaTolerance, RetryBudgetLimits},
    ids::RegionName,
};

/// The way to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Platform {
    /// Everything is kept in this process, for a first trial.
    Embedded {
        /// File with the configuration to start with.
        initial_configuration: Option<PathBuf>,
    },
    /// A store that holds classes, runners and hosts of the product's own
    /// interface.
    ClassStore {
        /// Address of the store.
        store: SocketAddr,
    },
    /// A store that holds configuration, runners and hosts.
    FleetStore(FleetSettings),
}

/// Part of the time within which a key that was taken away has to be refused,
/// for which an old proof of the configuration still counts. The rest covers
/// changes that a watch hears late and the way to the store.
const PROOF_SHARE: f64 = 0.7;

/// Settings of a host whose platform has a store for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Region that this host stands in.
    pub region: RegionName,
    /// Time within which every host refuses a key that was taken away.
    pub key_revocation: Duration,
    /// What is allowed of sending requests to a second runner.
    pub retry: RetryBudgetLimits,
    /// By how much quotas of workspaces may be exceeded.
    pub quotas: QuotaTolerance,
}

impl FleetSettings {
    /// Longest age of the proof that the configuration is the newest, with
    /// which keys are believed.
    #[must_use]
    pub fn max_staleness(&self) -> Duration {
        self.key_revocation.mul_f64(PROOF_SHARE)
    }
}
