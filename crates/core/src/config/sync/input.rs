//! Events that a host's part decides on.

use std::sync::Arc;

use crate::{config::AcceptedConfig, ids::HostName};

use super::SyncMessage;

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncInput {
    /// The key-value service was read, or this host's own change was accepted.
    Stored(Arc<AcceptedConfig>),
    /// A session with a peer began.
    PeerUp(HostName),
    /// A session with a peer ended.
    PeerDown(HostName),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: HostName,
        /// Its message.
        message: SyncMessage,
    },
    /// [`super::ANNOUNCE_INTERVAL`] has passed.
    Tick,
}
