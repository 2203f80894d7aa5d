//! The way to the peers.

use comfreyway_core::ids::HostName;
use comfreyway_proto::peer::{ConfigMessage, PeerMessage};
use tokio::sync::mpsc::{Receiver, channel};

use crate::peers::{PeerEvent, PeersHandle};

use super::{ConfigHandle, ConfigPeerEvent};

/// Most events that wait behind the configuration's share of them.
const EVENT_QUEUE: usize = 1_024;

/// Sends messages on the configuration to peers.
pub trait ConfigLinks {
    /// Sends a message. A message that can't be sent is dropped; announcements
    /// in turn make up for it.
    fn send(&self, to: &HostName, message: ConfigMessage);
}

/// Links of a host without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLinks;

impl ConfigLinks for NoLinks {
    fn send(&self, _: &HostName, _: ConfigMessage) {}
}

impl ConfigLinks for PeersHandle {
    fn send(&self, to: &HostName, message: ConfigMessage) {
        // A peer without a link hears of the version when it is up again.
        let _ = Self::send(self, to, &PeerMessage::Config(message));
    }
}

/// Passes the configuration's share of the peers' events to `config`. Returns
/// the others, and the links that went up and down as well.
#[must_use]
pub fn split_peer_events(
    mut events: Receiver<PeerEvent>,
    config: ConfigHandle,
) -> Receiver<PeerEvent> {
    let (tx, rest) = channel(EVENT_QUEUE);
    actix_rt::spawn(async move {
        while let Some(event) = events.recv().await {
            let mine = match &event {
                PeerEvent::Up { host, .. } => ConfigPeerEvent::Up(host.name.clone()),
                PeerEvent::Down { host } => ConfigPeerEvent::Down(host.name.clone()),
                PeerEvent::Message { from, message: PeerMessage::Config(message) } => {
                    let (from, message) = (from.name.clone(), message.clone());
                    config.peer_event(ConfigPeerEvent::Message { from, message });
                    continue;
                }
                PeerEvent::Message { .. } => {
                    // A closed queue means that the process ends.
                    let _ = tx.send(event).await;
                    continue;
                }
            };
            config.peer_event(mine);
            let _ = tx.send(event).await;
        }
    });
    rest
}
