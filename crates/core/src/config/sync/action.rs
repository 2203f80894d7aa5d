//! Actions that [`ConfigSync`](super::ConfigSync) returns.

use std::sync::Arc;

use crate::{config::AcceptedConfig, ids::HostName};

use super::SyncMessage;

/// An action for the host to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncAction {
    /// Put this configuration in force.
    Apply(Arc<AcceptedConfig>),
    /// The configuration in force is new enough to serve requests with.
    Ready,
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: SyncMessage,
    },
    /// Start (true) or stop (false) the watch on the key-value service.
    Watch(bool),
}
