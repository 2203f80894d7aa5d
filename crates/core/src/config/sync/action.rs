//! Effects that a host's part asks for.

use std::sync::Arc;

use crate::{config::AcceptedConfig, ids::HostName};

use super::SyncMessage;

/// One effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncAction {
    /// Put this configuration in force.
    Apply(Arc<AcceptedConfig>),
    /// The configuration in force is new enough to serve with.
    Ready,
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostName,
        /// The message.
        message: SyncMessage,
    },
    /// Start or end the watch on the key-value service.
    Watch(bool),
}
