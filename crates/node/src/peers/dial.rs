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
    handle::Outgoing,
    socket::{Socket, connect, read_hello, send_hello},
};

/// Bytes of an empty ping frame, including its mask.
const HEARTBEAT_BYTES: usize = 6;

/// Spawns a task that keeps a session to `address` until the process ends. Ends
/// early if the address is this host's own.
pub(super) fn spawn_dialer(peers: PeersHandle, address: SocketAddr) {
    actix_rt::spawn(async move {
        let mut backoff = Backoff::new();
        loop {
            match session(&peers, address, &mut backoff).await {
                Err(SessionError::Myself) => return peers.forget(address),
                Err(e) => debug!("session to {address}: {e}"),
                Ok(()) => return,
            }
            sleep(backoff.wait()).await;
        }
    });
}

/// Runs one session. Returns without error if the control thread has ended.
async fn session(
    peers: &PeersHandle,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<(), SessionError> {
    let settings = peers.settings();
    let mut socket = connect(address, &settings.secret, settings.connect_timeout).await?;
    send_hello(&mut socket, peers.hello()).await?;
    let hello = read_hello(&mut socket, settings.connect_timeout).await?;
    if hello.host.name == settings.host.name {
        return Err(SessionError::Myself);
    }
    backoff.reset();
    let (tx, rx) = mpsc::channel(settings.queue);
    peers.add_link(&hello, tx.clone());
    let up = PeerEvent::Up { host: hello.host.clone(), address: hello.address };
    if !peers.report(up).await {
        return Ok(());
    }
    let weak = tx.downgrade();
    let end = run(peers, socket, rx, tx).await;
    if let Some(tx) = weak.upgrade() {
        peers.drop_link(&hello.host, &tx);
    }
    if !peers.report(down(&hello)).await {
        return Ok(());
    }
    Err(end)
}

fn down(hello: &Hello) -> PeerEvent {
    PeerEvent::Down { host: hello.host.clone() }
}

/// Writes queued messages and heartbeats until the session ends.
async fn run(
    peers: &PeersHandle,
    mut socket: Socket,
    mut rx: mpsc::Receiver<Outgoing>,
    tx: mpsc::Sender<Outgoing>,
) -> SessionError {
    drop(tx);
    let silence = peers.settings().silence;
    let mut beat = interval(peers.settings().heartbeat);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    loop {
        let step = tokio::select! {
            next = rx.recv() => match next {
                Some(out) => {
                    peers.count(true, out.kind, out.buf.len());
                    write(&mut socket, Message::binary(out.buf), peers).await
                }
                None => Err(SessionError::Closed),
            },
            _ = beat.tick() => {
                if heard.elapsed() > silence {
                    return SessionError::Silent;
                }
                peers.count(true, "heartbeat", HEARTBEAT_BYTES);
                write(&mut socket, Message::Ping(Bytes::new()), peers).await
            }
            next = socket.next() => match next {
                Some(Ok(Message::Close(_))) | None => Err(SessionError::Closed),
                Some(Ok(_)) => {
                    heard = Instant::now();
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
    let limit = peers.settings().silence;
    timeout(limit, socket.send(message)).await.map_err(|_| SessionError::Silent)??;
    Ok(())
}
