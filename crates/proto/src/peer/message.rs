//! The messages between daemons.

use serde::{Deserialize, Serialize};

use super::{ConfigMessage, Hello};

/// A message between two daemons. Unknown fields are ignored by older readers.
///
/// Each family of messages has its payload type in its own file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PeerMessage {
    /// First message of a session, in both directions.
    Hello(Hello),
    /// A message on the spread of the configuration.
    Config(ConfigMessage),
    /// A message of a kind that this version does not know.
    #[serde(other)]
    Unknown,
}

impl PeerMessage {
    /// The message's kind as it stands on the wire and in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Config(_) => "config",
            Self::Unknown => "unknown",
        }
    }
}
