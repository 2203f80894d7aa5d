//! WebSocket connections between daemons.

use std::{net::SocketAddr, time::Duration};

use comfreyway_proto::{
    headers,
    peer::{Hello, MAX_FRAME_BYTES, PeerMessage, decode, encode},
};
use futures_util::{SinkExt, StreamExt};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, accept_hdr_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        client::IntoClientRequest,
        handshake::server::{ErrorResponse, Request, Response},
        http::{HeaderValue, StatusCode},
        protocol::WebSocketConfig,
    },
};

use crate::{settings::Secret, tcp};

use super::error::SessionError;

const READ_BUFFER_BYTES: usize = 16 << 10;

/// A WebSocket over TCP.
pub(super) type Socket = WebSocketStream<TcpStream>;

pub(super) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Connects to a peer and authenticates with the secret.
pub(super) async fn connect(
    address: SocketAddr,
    secret: &Secret,
    limit: Duration,
) -> Result<Socket, SessionError> {
    let invalid = |cause: String| SessionError::InvalidRequest(cause);
    let mut req = format!("ws://{address}/peers")
        .into_client_request()
        .map_err(|e| invalid(e.to_string()))?;
    let value = HeaderValue::from_str(secret.expose()).map_err(|e| invalid(e.to_string()))?;
    req.headers_mut().insert(headers::SECRET, value);
    let open = async {
        let stream = tcp::connect(address).await?;
        stream.set_nodelay(true)?;
        let (socket, _) = client_async_with_config(req, stream, Some(websocket_config())).await?;
        Ok(socket)
    };
    timeout(limit, open).await.map_err(|_| SessionError::Timeout)?
}

/// Accepts a connection if its secret matches. Returns the requested path.
pub(super) async fn accept(
    stream: TcpStream,
    secret: &Secret,
    limit: Duration,
) -> Result<(Socket, String), SessionError> {
    stream.set_nodelay(true)?;
    let mut path = String::new();
    #[allow(clippy::result_large_err)]
    let check = |req: &Request, response: Response| {
        let received = req.headers().get(headers::SECRET).map_or(&[][..], HeaderValue::as_bytes);
        if secret.matches(received) {
            req.uri().path().clone_into(&mut path);
            return Ok(response);
        }
        let mut refusal = ErrorResponse::new(Some("the secret does not match".to_owned()));
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let open = accept_hdr_async_with_config(stream, check, Some(websocket_config()));
    let socket = timeout(limit, open).await.map_err(|_| SessionError::Timeout)??;
    Ok((socket, path))
}

/// Sends this host's hello message.
pub(super) async fn send_hello(socket: &mut Socket, hello: Hello) -> Result<(), SessionError> {
    let buf = encode(&PeerMessage::Hello(hello))?;
    socket.send(Message::binary(buf)).await?;
    Ok(())
}

/// Waits for the peer's hello message.
pub(super) async fn read_hello(
    socket: &mut Socket,
    limit: Duration,
) -> Result<Hello, SessionError> {
    let next = timeout(limit, socket.next()).await.map_err(|_| SessionError::Timeout)?;
    let Some(Message::Binary(buf)) = next.transpose()? else {
        return Err(SessionError::NoHello);
    };
    match decode(&buf)? {
        PeerMessage::Hello(hello) => Ok(hello),
        _ => Err(SessionError::NoHello),
    }
}
