//! Events that the control thread receives about its peers.

use std::net::SocketAddr;

use comfreyway_core::ids::HostId;
use comfreyway_proto::peer::PeerMessage;

/// An event of one peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// Messages can be sent to the peer.
    Up {
        /// The peer.
        host: HostId,
        /// Address at which it accepts peers.
        address: SocketAddr,
    },
    /// The peer is down: the session with it broke or its heartbeats stopped.
    Down {
        /// The peer.
        host: HostId,
    },
    /// A message arrived.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
}
