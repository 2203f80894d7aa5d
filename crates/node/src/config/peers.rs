//! Messages of the configuration to and from peers.

use comfreyway_core::ids::HostName;
use comfreyway_proto::peer::{ConfigMessage, PeerMessage};
use tokio::sync::mpsc::{Receiver, channel};

use crate::peers::{PeerEvent, PeersHandle};

use super::{ConfigHandle, ConfigPeerEvent};

/// Capacity of the queue of events that are not for the configuration alone.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// Sends messages about the configuration to peers.
pub trait ConfigSender {
    /// Sends a message. A message that can't be sent is dropped; the periodic
    /// announcements make up for it.
    fn send(&self, to: &HostName, message: ConfigMessage);
}

/// Sender of a host without peers; drops each message.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ConfigSender for NoPeers {
    fn send(&self, _: &HostName, _: ConfigMessage) {}
}

impl ConfigSender for PeersHandle {
    fn send(&self, to: &HostName, message: ConfigMessage) {
        // A peer without a session receives the version when it is up again.
        let _ = Self::send(self, to, &PeerMessage::Config(message));
    }
}

/// Passes the peers' messages about the configuration to `config`, and the other
/// messages to the returned channel. Both get the events of peers that went up
/// or down.
#[must_use]
pub fn split_peer_events(
    mut events: Receiver<PeerEvent>,
    config: ConfigHandle,
) -> Receiver<PeerEvent> {
    let (tx, other_events) = channel(MAX_QUEUED_EVENTS);
    actix_rt::spawn(async move {
        while let Some(event) = events.recv().await {
            let config_event = match &event {
                PeerEvent::Up { host, .. } => ConfigPeerEvent::Up(host.name.clone()),
                PeerEvent::Down { host } => ConfigPeerEvent::Down(host.name.clone()),
                PeerEvent::Message { from, message: PeerMessage::Config(message) } => {
                    let (from, message) = (from.name.clone(), message.clone());
                    config.peer_event(ConfigPeerEvent::Message { from, message });
                    continue;
                }
                PeerEvent::Message { .. } => {
                    // The queue is closed when the process ends.
                    let _ = tx.send(event).await;
                    continue;
                }
            };
            config.peer_event(config_event);
            let _ = tx.send(event).await;
        }
    });
    other_events
}
