//! Runners as they describe themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, RunnerName, UpstreamName};

/// One run of a runner. A runner that starts again may keep its name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunnerKey {
    /// The runner's name.
    pub name: RunnerName,
    /// Start of this run in milliseconds since the Unix epoch, if it is told.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
}

/// A runner's entry in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerEntry {
    /// The run.
    pub key: RunnerKey,
    /// The upstream that it belongs to.
    pub upstream: UpstreamName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Requests that it works on at the same time.
    #[serde(rename = "places")]
    pub slots: u32,
    /// True if it is leaving.
    pub leaving: bool,
}
