//! A peer's call for a kept answer.

use std::{io, net::TcpStream};

use comfreyway_core::ids::RequestId;
use tokio_tungstenite::{WebSocketStream, tungstenite::protocol::Role};

use super::socket::{Socket, config};

/// A peer's call for a kept answer, after its secret was checked.
///
/// Answers are traffic, so the call leaves the control thread as a plain socket
/// and becomes a WebSocket again on a thread that carries traffic.
#[derive(Debug)]
pub struct ResultConnection {
    id: RequestId,
    stream: TcpStream,
}

impl ResultConnection {
    pub(super) fn new(id: RequestId, socket: Socket) -> io::Result<Self> {
        Ok(Self { id, stream: socket.into_inner().into_std()? })
    }

    /// The request whose answer is asked for.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The session, on the present thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't watch the socket.
    pub async fn into_socket(self) -> io::Result<WebSocketStream<tokio::net::TcpStream>> {
        let stream = tokio::net::TcpStream::from_std(self.stream)?;
        Ok(WebSocketStream::from_raw_socket(stream, Role::Server, Some(config())).await)
    }
}
