//! Messages between hosts that distribute the configuration.

use std::sync::Arc;

use crate::config::{AcceptedChange, AcceptedConfig};

/// A message between two hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncMessage {
    /// The sender has this version in force.
    Announce {
        /// The version.
        version: u64,
    },
    /// The sender requests the changes after its version.
    Request {
        /// The sender's version.
        have: u64,
    },
    /// Changes in version order, without gaps.
    Delta(Vec<AcceptedChange>),
    /// The complete configuration with its history.
    Snapshot(Arc<AcceptedConfig>),
}
