//! Sessions that this host accepted, on which it receives messages.

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

const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(100);
/// An accepted session is dropped after this many heartbeat timeouts without a
/// frame.
const IDLE_TIMEOUT_FACTOR: u32 = 10;

/// Accepts connections until the process ends.
pub(super) async fn accept_loop(peers: PeersHandle, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let peers = peers.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = run_session(&peers, stream).await {
                        debug!("accepted session ended: {e}");
                    }
                });
            }
            Err(e) => {
                warn!("can't accept connections from peers: {e}");
                sleep(ACCEPT_RETRY_WAIT).await;
            }
        }
    }
}

async fn run_session(peers: &PeersHandle, stream: TcpStream) -> Result<(), SessionError> {
    let settings = peers.settings();
    let (mut socket, path) = accept(stream, &settings.secret, settings.connect_timeout).await?;
    if let Some(id) = path.strip_prefix(RESULTS_PATH_PREFIX) {
        return forward_result_connection(peers, id, socket);
    }
    let hello = read_hello(&mut socket, settings.connect_timeout).await?;
    send_hello(&mut socket, peers.hello()).await?;
    if hello.host.name == settings.host.name {
        return Err(SessionError::SelfConnection);
    }
    peers.dial(hello.address);
    let number = peers.begin_accepted_session(&hello.host.name);
    read_frames(peers, socket, &hello.host, number).await
}

/// Passes a connection that reads a recorded response to the workers. Closes it if
/// its path holds no valid request ID or no worker serves such connections.
fn forward_result_connection(
    peers: &PeersHandle,
    id: &str,
    socket: Socket,
) -> Result<(), SessionError> {
    if let (Some(connections), Ok(id)) = (&peers.settings().result_connections, id.parse()) {
        // The channel is closed when the process ends.
        let _ = connections.send(ResultConnection::new(id, socket)?);
    }
    Ok(())
}

async fn read_frames(
    peers: &PeersHandle,
    mut socket: Socket,
    from: &HostId,
    number: u64,
) -> Result<(), SessionError> {
    let idle_timeout = peers.settings().heartbeat_timeout * IDLE_TIMEOUT_FACTOR;
    loop {
        let next = timeout(idle_timeout, socket.next())
            .await
            .map_err(|_| SessionError::HeartbeatTimeout)?;
        let Some(frame) = next.transpose()? else { return Ok(()) };
        if !peers.is_current_session(&from.name, number) {
            return Err(SessionError::Closed);
        }
        if let Message::Binary(buf) = frame
            && !handle_frame(peers, from, &buf).await
        {
            return Ok(());
        }
    }
}

/// Passes the message in one frame to the control thread. Returns false if the
/// control thread has ended.
async fn handle_frame(peers: &PeersHandle, from: &HostId, buf: &[u8]) -> bool {
    match decode(buf) {
        Ok(message) => {
            peers.count_message(false, message.kind(), buf.len());
            peers.send_event(PeerEvent::Message { from: from.clone(), message }).await
        }
        Err(e) => {
            peers.count_message(false, "malformed", buf.len());
            debug!("malformed frame from {from}: {e}");
            true
        }
    }
}
