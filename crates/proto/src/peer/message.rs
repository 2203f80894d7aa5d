//! Messages between daemons.

use comfreyway_core::cluster::Announcement;
use serde::{Deserialize, Serialize};

use super::{ConfigMessage, FromStandby, HandOver, Hello, ToEntry, ToOwner, ToStandby};

/// A message between two daemons. Older releases ignore unknown fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PeerMessage {
    /// First message of a session, in both directions.
    Hello(Hello),
    /// Distributes the configuration.
    Config(ConfigMessage),
    /// An event from an entry for the owner of a pool.
    ToOwner(ToOwner),
    /// An event from the owner of a pool for an entry.
    ToEntry(ToEntry),
    /// An event from the owner of a pool for its standby.
    ToStandby(ToStandby),
    /// A standby's reply to the owner of a pool.
    FromStandby(FromStandby),
    /// An owner announces its term.
    Announce(Announcement),
    /// A stopping owner hands its pool over to the receiver.
    HandOver(HandOver),
    /// The sender is stopping and takes over no pool.
    Leaving,
    /// A message of a kind that this version does not know.
    #[serde(other)]
    Unknown,
}

impl PeerMessage {
    /// Returns the message's kind as used on the wire and in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Config(_) => "config",
            Self::ToOwner(_) => "to-owner",
            Self::ToEntry(_) => "to-entry",
            Self::ToStandby(_) => "to-standby",
            Self::FromStandby(_) => "from-standby",
            Self::Announce(_) => "announce",
            Self::HandOver(_) => "hand-over",
            Self::Leaving => "leaving",
            Self::Unknown => "unknown",
        }
    }
}
