//! Start of the sessions.

use tokio::{net::TcpListener, sync::mpsc};

use super::{PeerEvent, PeersHandle, PeersSettings, accept::accept_loop};

/// Most events that wait for the control thread; beyond it, peers are read more
/// slowly.
const EVENT_QUEUE: usize = 4_096;

/// Starts to accept and to dial peers on the current thread's runtime.
#[must_use]
pub fn start_peers(
    settings: PeersSettings,
    listener: TcpListener,
) -> (PeersHandle, mpsc::Receiver<PeerEvent>) {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    let addresses = settings.static_peers.clone();
    let peers = PeersHandle::new(settings, tx);
    actix_rt::spawn(accept_loop(peers.clone(), listener));
    for address in addresses {
        peers.dial(address);
    }
    (peers, rx)
}
