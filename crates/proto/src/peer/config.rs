//! Messages on the spread of the configuration.

use serde::{Deserialize, Serialize};

/// A message on the spread of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigMessage {
    /// The sender's version, or for a delta or snapshot the version it leads to.
    pub version: u64,
    /// What the message carries.
    pub body: ConfigBody,
}

/// What a message carries. Configuration goes as the JSON that the key-value
/// service stores, so that there is one encoding of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type", content = "json")]
pub enum ConfigBody {
    /// The sender has the version in force.
    Announce,
    /// The sender asks for what is newer than its version.
    Request,
    /// Changes in order of their versions.
    Delta(String),
    /// The whole configuration with its history.
    Snapshot(String),
    /// A kind that this release does not know.
    #[serde(other)]
    Unknown,
}
