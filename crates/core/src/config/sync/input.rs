//! Events that [`ConfigSync`](super::ConfigSync) handles.

use std::sync::Arc;

use crate::{config::AcceptedConfig, ids::HostName};

use super::SyncMessage;

/// An event on a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncInput {
    /// The configuration was read from the key-value service, or written to it
    /// by this host.
    Stored(Arc<AcceptedConfig>),
    /// A session with a peer was established.
    PeerUp(HostName),
    /// A session with a peer ended.
    PeerDown(HostName),
    /// A message was received from a peer.
    Message {
        /// The sender.
        from: HostName,
        /// The message.
        message: SyncMessage,
    },
    /// [`super::ANNOUNCE_INTERVAL`] has passed.
    Tick,
}
