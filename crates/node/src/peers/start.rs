//! Starts the sessions between daemons.

use tokio::{net::TcpListener, sync::mpsc};

use super::{PeerEvent, PeersHandle, PeersSettings, accept::accept_loop};

/// Capacity of the queue of events to the control thread. While it is full,
/// reading from peers waits.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Starts accepting and dialling peers on the current thread's runtime.
#[must_use]
pub fn start_peers(
    settings: PeersSettings,
    listener: TcpListener,
) -> (PeersHandle, mpsc::Receiver<PeerEvent>) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let addresses = settings.static_peers.clone();
    let peers = PeersHandle::new(settings, tx);
    actix_rt::spawn(accept_loop(peers.clone(), listener));
    for address in addresses {
        peers.dial(address);
    }
    (peers, rx)
}
