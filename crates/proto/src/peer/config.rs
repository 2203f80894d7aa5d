//! Messages that distribute the configuration.

use serde::{Deserialize, Serialize};

/// A message that distributes the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigMessage {
    /// The sender's version; for a delta or snapshot, the version that results.
    pub version: u64,
    /// Body of the message.
    pub body: ConfigBody,
}

/// Body of a [`ConfigMessage`]. Configuration is encoded as the JSON that the
/// key-value service stores, so that there is one encoding of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type", content = "json")]
pub enum ConfigBody {
    /// Announces the sender's version.
    Announce,
    /// Requests the changes after the sender's version.
    Request,
    /// Changes in version order.
    Delta(String),
    /// The whole configuration with its history.
    Snapshot(String),
    /// A kind that this release does not know.
    #[serde(other)]
    Unknown,
}
