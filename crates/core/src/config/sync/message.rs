//! Messages between two hosts' parts.

use std::sync::Arc;

use crate::config::{AcceptedChange, AcceptedConfig};

/// A message on the spread of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncMessage {
    /// The sender has this version in force.
    Announce {
        /// The version.
        version: u64,
    },
    /// The sender asks for what is newer than its version.
    Request {
        /// The sender's version.
        have: u64,
    },
    /// Changes in order of their versions, without gaps.
    Delta(Vec<AcceptedChange>),
    /// The whole configuration with its history.
    Snapshot(Arc<AcceptedConfig>),
}
