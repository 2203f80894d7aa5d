//! Sessions that this host accepted: the receiving side.

use std::time::Duration;

use comfreyway_core::ids::HostId;
use comfreyway_proto::{peer::decode, result::RESULTS_PATH_PREFIX};
use futures_util::StreamExt;
use log::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_tungstenite::tungstenite::Message;

use super::{
    PeerEvent, PeersHandle, ResultConnection,
    error::SessionError,
    socket::{Socket, accept, read_hello, send_hello},
};

const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Silence, in units of the peers' silence limit, after which an accepted
/// session is dropped.
const IDLE_FACTOR: u32 = 10;

/// Accepts sessions until the process ends.
pub(super) async fn accept_loop(peers: PeersHandle, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let peers = peers.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = session(&peers, stream).await {
                        debug!("accepted session: {e}");
                    }
                });
            }
            Err(e) => {
                warn!("peers can't be accepted: {e}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn session(peers: &PeersHandle, stream: TcpStream) -> Result<(), SessionError> {
    let settings = peers.settings();
    let (mut socket, path) = accept(stream, &settings.secret, settings.connect_timeout).await?;
    if let Some(id) = path.strip_prefix(RESULTS_PATH_PREFIX) {
        return pass_on(peers, id, socket);
    }
    let hello = read_hello(&mut socket, settings.connect_timeout).await?;
    send_hello(&mut socket, peers.hello()).await?;
    if hello.host.name == settings.host.name {
        return Err(SessionError::Myself);
    }
    peers.dial(hello.address);
    let number = peers.begin_accepted(&hello.host.name);
    read(peers, socket, &hello.host, number).await
}

/// Passes a call for a kept answer on. One that is not understood is closed.
fn pass_on(peers: &PeersHandle, id: &str, socket: Socket) -> Result<(), SessionError> {
    if let (Some(results), Ok(id)) = (&peers.settings().results, id.parse()) {
        // A closed channel means that the process ends.
        let _ = results.send(ResultConnection::new(id, socket)?);
    }
    Ok(())
}

async fn read(
    peers: &PeersHandle,
    mut socket: Socket,
    from: &HostId,
    number: u64,
) -> Result<(), SessionError> {
    let idle = peers.settings().silence * IDLE_FACTOR;
    loop {
        let next = timeout(idle, socket.next()).await.map_err(|_| SessionError::Silent)?;
        let Some(frame) = next.transpose()? else { return Ok(()) };
        if !peers.is_current(&from.name, number) {
            return Err(SessionError::Closed);
        }
        if let Message::Binary(buf) = frame
            && !receive(peers, from, &buf).await
        {
            return Ok(());
        }
    }
}

/// Passes one frame on. Returns false if the control thread has ended.
async fn receive(peers: &PeersHandle, from: &HostId, buf: &[u8]) -> bool {
    match decode(buf) {
        Ok(message) => {
            peers.count(false, message.kind(), buf.len());
            peers.report(PeerEvent::Message { from: from.clone(), message }).await
        }
        Err(e) => {
            peers.count(false, "malformed", buf.len());
            debug!("frame from {from}: {e}");
            true
        }
    }
}
