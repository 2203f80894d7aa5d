//! Runners as registered in the store.

use std::{fmt, net::SocketAddr, sync::Arc};

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

/// Version of a runner's software. Versions have no order; a stream can only go on
/// at the one that began it.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::RunnerVersion;
///
/// assert_eq!(RunnerVersion::new("v1.2+kk").unwrap().as_str(), "v1.2+kk");
/// assert_eq!(RunnerVersion::new(""), None);
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RunnerVersion(Arc<str>);

impl RunnerVersion {
    /// Creates a version; an empty text names none.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(Arc::from(text)))
    }

    /// Returns the version as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RunnerVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
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
    /// Version of the runner's software, if it is known.
    #[serde(default)]
    pub version: Option<RunnerVersion>,
}
