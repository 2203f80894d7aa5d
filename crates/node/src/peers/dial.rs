//! Sessions that this host dialled, on which it sends messages.

use std::net::SocketAddr;

use comfreyway_proto::peer::Hello;
use futures_util::{SinkExt, StreamExt};
use log::debug;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};
use tokio_tungstenite::tungstenite::{Bytes, Message};

use super::{
    PeerEvent, PeersHandle,
    backoff::Backoff,
    error::SessionError,
    handle::OutgoingMessage,
    socket::{Socket, connect, read_hello, send_hello},
};

/// Bytes of an empty ping frame, including its mask.
const HEARTBEAT_BYTES: usize = 6;

/// Spawns a task that keeps a session with `address` until the process ends. Ends
/// early if the address is this host's own.
pub(super) fn spawn_dialer(peers: PeersHandle, address: SocketAddr) {
    actix_rt::spawn(async move {
        let mut backoff = Backoff::new();
        loop {
            match run_session(&peers, address, &mut backoff).await {
                Err(SessionError::SelfConnection) => return peers.remove_dialled(address),
                Err(e) => debug!("session with {address} failed: {e}"),
                Ok(()) => return,
            }
            sleep(backoff.next_wait()).await;
        }
    });
}

/// Runs one session. Returns without error if the control thread has ended.
async fn run_session(
    peers: &PeersHandle,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<(), SessionError> {
    let settings = peers.settings();
    let mut socket = connect(address, &settings.secret, settings.connect_timeout).await?;
    send_hello(&mut socket, peers.hello()).await?;
    let hello = read_hello(&mut socket, settings.connect_timeout).await?;
    if hello.host.name == settings.host.name {
        return Err(SessionError::SelfConnection);
    }
    backoff.reset();
    let (tx, rx) = mpsc::channel(settings.max_queued_messages);
    peers.add_session(&hello, tx.clone());
    let up = PeerEvent::Up { host: hello.host.clone(), address: hello.address };
    if !peers.send_event(up).await {
        return Ok(());
    }
    let weak_tx = tx.downgrade();
    let error = send_until_closed(peers, socket, rx, tx).await;
    if let Some(tx) = weak_tx.upgrade() {
        peers.remove_session(&hello.host, &tx);
    }
    if !peers.send_event(down(&hello)).await {
        return Ok(());
    }
    Err(error)
}

fn down(hello: &Hello) -> PeerEvent {
    PeerEvent::Down { host: hello.host.clone() }
}

/// Writes queued messages and heartbeats until the session ends.
async fn send_until_closed(
    peers: &PeersHandle,
    mut socket: Socket,
    mut rx: mpsc::Receiver<OutgoingMessage>,
    tx: mpsc::Sender<OutgoingMessage>,
) -> SessionError {
    drop(tx);
    let heartbeat_timeout = peers.settings().heartbeat_timeout;
    let mut heartbeat = interval(peers.settings().heartbeat_interval);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = Instant::now();
    loop {
        let step = tokio::select! {
            next = rx.recv() => match next {
                Some(out) => {
                    peers.count_message(true, out.kind, out.buf.len());
                    write(&mut socket, Message::binary(out.buf), peers).await
                }
                None => Err(SessionError::Closed),
            },
            _ = heartbeat.tick() => {
                if last_received.elapsed() > heartbeat_timeout {
                    return SessionError::HeartbeatTimeout;
                }
                peers.count_message(true, "heartbeat", HEARTBEAT_BYTES);
                write(&mut socket, Message::Ping(Bytes::new()), peers).await
            }
            next = socket.next() => match next {
                Some(Ok(Message::Close(_))) | None => Err(SessionError::Closed),
                Some(Ok(_)) => {
                    last_received = Instant::now();
                    Ok(())
                }
                Some(Err(e)) => Err(e.into()),
            },
        };
        if let Err(e) = step {
            return e;
        }
    }
}

async fn write(
    socket: &mut Socket,
    message: Message,
    peers: &PeersHandle,
) -> Result<(), SessionError> {
    let write_timeout = peers.settings().heartbeat_timeout;
    timeout(write_timeout, socket.send(message))
        .await
        .map_err(|_| SessionError::HeartbeatTimeout)??;
    Ok(())
}
