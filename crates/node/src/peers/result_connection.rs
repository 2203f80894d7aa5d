//! Connections on which peers read recorded responses.

use std::{io, net::TcpStream};

use comfreyway_core::ids::RequestId;
use tokio_tungstenite::{WebSocketStream, tungstenite::protocol::Role};

use super::socket::{Socket, websocket_config};

/// An accepted connection on which a peer reads a recorded response, after its
/// secret was checked.
///
/// Responses are sent by traffic workers, so the connection leaves the control
/// thread as a plain socket and becomes a WebSocket again on a worker's thread.
#[derive(Debug)]
pub struct ResultConnection {
    id: RequestId,
    stream: TcpStream,
}

impl ResultConnection {
    pub(super) fn new(id: RequestId, socket: Socket) -> io::Result<Self> {
        Ok(Self { id, stream: socket.into_inner().into_std()? })
    }

    /// Returns the request whose response is read.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the WebSocket, on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't register the socket.
    pub async fn into_socket(self) -> io::Result<WebSocketStream<tokio::net::TcpStream>> {
        let stream = tokio::net::TcpStream::from_std(self.stream)?;
        Ok(WebSocketStream::from_raw_socket(stream, Role::Server, Some(websocket_config())).await)
    }
}
