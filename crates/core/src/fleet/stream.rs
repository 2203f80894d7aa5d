//! Identity of streams that callers take up again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{UpstreamName, WorkspaceName};

use super::RunnerVersion;

/// Identifies a stream by its workspace and the id of the caller's attempt that brought
/// its first event.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::StreamId;
///
/// let (desk, union) = ("desk".parse().unwrap(), "union".parse().unwrap());
/// assert_eq!(StreamId::new(&desk, "69c5"), StreamId::new(&desk, "69c5"));
/// assert_ne!(StreamId::new(&desk, "69c5"), StreamId::new(&union, "69c5"));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamId(u64, u64);

impl StreamId {
    /// Derives the id from the id that the caller gave to its attempt.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, caller_id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(b"\n");
        hasher.update(caller_id.as_bytes());
        let hash = hasher.finalize();
        let (halves, _) = hash.as_bytes().as_chunks::<8>();
        Self(u64::from_be_bytes(halves[0]), u64::from_be_bytes(halves[1]))
    }

    /// Returns a number that is uniformly distributed over streams.
    #[must_use]
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// How a request is bound to a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBinding {
    /// The stream.
    #[serde(rename = "i")]
    pub id: StreamId,
    /// True if the request begins the stream, false if it goes on with it.
    #[serde(rename = "b")]
    pub begins: bool,
    /// Version that the stream began at: for a request that goes on with it the one
    /// that is required, for one that begins it that of its runner. `None` if it is not
    /// known yet.
    #[serde(rename = "v", default)]
    pub version: Option<RunnerVersion>,
    /// Time for which the stream may be taken up again after this request; zero from hosts
    /// of earlier versions.
    #[serde(rename = "r", default)]
    pub retention: Duration,
}

impl StreamBinding {
    /// Creates the binding of a request that begins a stream.
    #[must_use]
    pub fn begins(id: StreamId) -> Self {
        Self { id, begins: true, version: None, retention: Duration::ZERO }
    }

    /// Creates the binding of a request that goes on with a stream.
    #[must_use]
    pub fn continues(id: StreamId, version: Option<RunnerVersion>) -> Self {
        Self { id, begins: false, version, retention: Duration::ZERO }
    }

    /// Sets the time for which the stream may be taken up again after the request.
    #[must_use]
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}

/// The software version at which a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// The stream.
    #[serde(rename = "i")]
    pub id: StreamId,
    /// The upstream that it runs at.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Version of the runner that began it; `None` if that runner's entry named none.
    #[serde(rename = "v")]
    pub version: Option<RunnerVersion>,
    /// Time since the stream was last used.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Time after its last use for which it may be taken up again; zero from hosts of
    /// earlier versions.
    #[serde(rename = "r", default)]
    pub retention: Duration,
}
