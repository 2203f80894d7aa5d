//! The messages between daemons.

use comfreyway_core::ids::HostId;
use serde::{Deserialize, Serialize};

use super::ConfigMessage;

/// A message between two daemons. Unknown fields are ignored by older readers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PeerMessage {
    /// First message of a session, in both directions.
    Hello {
        /// The sender.
        host: HostId,
    },
    /// A message on the spread of the configuration.
    Config(ConfigMessage),
    /// A message of a kind that this version does not know.
    #[serde(other)]
    Unknown,
}
