//! Messages between a host and its coordinator, and how they are carried.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyway_core::{
    fleet::{PlacementReply, RequestUpdate, RunnerEntry},
    ids::HostId,
};
use futures_util::{SinkExt, StreamExt};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc::Receiver, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use super::{
    links::watch_silence,
    mirror::{ChangeSet, Complete},
    sessions::COORDINATOR_SILENCE,
};

/// Usual size of a message, a question about a request.
const FRAME_BYTES: usize = 512;

/// Buffer of a connection for what comes, held for each asking host.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Messages that wait for the same host go out together up to this size.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Largest frame in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// What a host sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToCoordinator {
    /// First frame: who asks, and the token of the one that is asked.
    #[serde(rename = "h")]
    Hello(HostId, u64),
    /// A question or report.
    #[serde(rename = "a")]
    Update(RequestUpdate),
    /// Asks for a sign of life. Holds microseconds of the asking host's clock.
    #[serde(rename = "p")]
    Ping(u64),
    /// Asks for what changed in the store after this revision, from now on too.
    #[serde(rename = "s")]
    Sync(u64),
}

/// What a coordinator sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToHost {
    /// An answer.
    #[serde(rename = "t")]
    Reply(PlacementReply),
    /// Answers a ping with its value, the store's revision up to which the
    /// coordinator knows all changes, and the age of the proof of that.
    #[serde(rename = "p")]
    Pong(u64, u64, Duration),
    /// A runner that the next answer names, for a host that has not read all of
    /// the store yet.
    #[serde(rename = "n")]
    Runner(Box<RunnerEntry>),
    /// Changes of the store.
    #[serde(rename = "c")]
    Changes(ChangeSet),
    /// The changes that were asked for are told.
    #[serde(rename = "e")]
    Complete(Complete),
    /// The coordinator is stopping: ask another one.
    #[serde(rename = "l")]
    Leaving,
}

/// A message as it goes out. What many hosts are told is written once.
#[derive(Clone, Debug)]
pub struct Frame(Bytes);

impl Frame {
    /// The frame of a message.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be written.
    pub fn new<T>(message: &T) -> Result<Self, SessionError>
    where
        T: Serialize,
    {
        let mut buf = Vec::with_capacity(FRAME_BYTES);
        ciborium::into_writer(message, &mut buf).map_err(|e| SessionError::Codec(e.to_string()))?;
        Ok(Self(buf.into()))
    }
}

quick_error! {
    /// Why a session ended.
    #[derive(Debug)]
    pub enum SessionError {
        /// The connection failed.
        Socket(cause: tungstenite::Error) {
            from()
            display("{cause}")
        }
        /// The connection could not be made.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// A message can't be read or written.
        Codec(cause: String) {
            display("a frame can't be read or written: {cause}")
        }
        /// The other side has fallen silent.
        Silence {
            display("the other side has fallen silent")
        }
        /// The greeting is missing or wrong.
        Greeting {
            display("the greeting is missing or wrong")
        }
        /// The session was closed.
        Closed {
            display("the session was closed")
        }
    }
}

/// A connection between a host and its coordinator.
pub struct PeerSocket(WebSocketStream<TcpStream>);

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

impl PeerSocket {
    /// Takes in a connection of a host that asks this one, and its name.
    ///
    /// # Errors
    ///
    /// Fails unless the host shows this host's `token`.
    pub(super) async fn accept(
        stream: TcpStream,
        token: u64,
    ) -> Result<(Self, HostId), SessionError> {
        watch_silence(&stream);
        let mut socket = Self(accept_async_with_config(stream, Some(config())).await?);
        match socket.read().await? {
            ToCoordinator::Hello(host, shown) if shown == token => Ok((socket, host)),
            _ => Err(SessionError::Greeting),
        }
    }

    /// Connects to the coordinator at `address`, whose token is known.
    ///
    /// # Errors
    ///
    /// Fails if it can't be reached.
    pub async fn connect(
        me: HostId,
        address: SocketAddr,
        token: u64,
    ) -> Result<Self, SessionError> {
        let stream = TcpStream::connect(address).await?;
        watch_silence(&stream);
        let url = format!("ws://{address}/fleet");
        let (socket, _) = client_async_with_config(url, stream, Some(config())).await?;
        let mut socket = Self(socket);
        socket.send(Frame::new(&ToCoordinator::Hello(me, token))?).await?;
        Ok(socket)
    }

    /// The next message.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, or what comes can't be read.
    pub async fn read<T>(&mut self) -> Result<T, SessionError>
    where
        T: DeserializeOwned,
    {
        loop {
            match self.0.next().await.ok_or(SessionError::Closed)?? {
                Message::Binary(buf) => {
                    return ciborium::from_reader(&buf[..])
                        .map_err(|e| SessionError::Codec(e.to_string()));
                }
                Message::Close(_) => return Err(SessionError::Closed),
                _ => {}
            }
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the other side takes nothing for too long.
    pub async fn send(&mut self, frame: Frame) -> Result<(), SessionError> {
        let sending = self.0.send(Message::Binary(frame.0));
        timeout(COORDINATOR_SILENCE, sending).await.map_err(|_| SessionError::Silence)??;
        Ok(())
    }

    /// Sends a message, and all that wait behind it, in as few writes as possible.
    ///
    /// # Errors
    ///
    /// Fails if the other side takes nothing for too long.
    pub async fn send_all(
        &mut self,
        first: Frame,
        queue: &mut Receiver<Frame>,
    ) -> Result<(), SessionError> {
        let sending = async {
            self.0.feed(Message::Binary(first.0)).await?;
            while let Ok(next) = queue.try_recv() {
                self.0.feed(Message::Binary(next.0)).await?;
            }
            self.0.flush().await
        };
        timeout(COORDINATOR_SILENCE, sending).await.map_err(|_| SessionError::Silence)??;
        Ok(())
    }
}
