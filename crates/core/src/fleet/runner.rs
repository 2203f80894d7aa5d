//! Runners as registered in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, RunnerName, UpstreamName};

/// Identifies one run of a runner. A runner that restarts may keep its name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunnerKey {
    /// The runner's name.
    pub name: RunnerName,
    /// Start of this run in milliseconds since the Unix epoch, if it is known.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
}

/// A runner's entry in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerEntry {
    /// The runner's name and the start of this run.
    pub key: RunnerKey,
    /// The upstream that it belongs to.
    pub upstream: UpstreamName,
    /// Address on which the runner accepts requests.
    pub address: SocketAddr,
    /// The data centre that hosts the runner.
    pub data_centre: DataCentreName,
    /// Maximum number of concurrent requests.
    #[serde(rename = "places")]
    pub slots: u32,
    /// True if the runner is leaving and accepts no new requests.
    pub leaving: bool,
}
