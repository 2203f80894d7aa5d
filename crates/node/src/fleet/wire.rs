//! Messages between a client host and its coordinator, and their framing.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyway_core::{
    fleet::{
        LimitReport, PlacementReply, RequestUpdate, RunnerEntry, RunnerKey, RunnerLoad,
        RunnerNotice, StreamRecord, SuspectRecord,
    },
    ids::{HostId, RunnerName},
    outcome::RetryReason,
};
use futures_util::{SinkExt, StreamExt};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc::Receiver, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use crate::tcp;

use super::{
    mirror::{ChangeSet, MirroredItem, SyncEnd},
    runner_connections::set_socket_options,
    sessions::COORDINATOR_TIMEOUT,
};

#[cfg(test)]
mod tests;

/// Initial buffer of an encoded message: the usual size of a placement request.
const FRAME_BUFFER_BYTES: usize = 512;

/// Read buffer of a connection; the coordinator holds one for each client host.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Write buffer of a connection: messages queued for the same host are sent
/// together up to this size.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Protocol from which on a host understands `Streams`.
pub(super) const PROTOCOL_STREAMS: u8 = 1;

/// Protocol from which on a host understands `Suspects`.
pub(super) const PROTOCOL_SUSPECTS: u8 = 2;

/// Protocol from which on a host understands `Limit` and `Limits`.
pub(super) const PROTOCOL_LIMITS: u8 = 3;

/// Protocol from which on a host understands requests in `Suspects`.
pub(super) const PROTOCOL_REQUESTS: u8 = 4;

/// Protocol from which on a host understands `Load`.
pub(super) const PROTOCOL_LOADS: u8 = 5;

/// Protocol from which on a host understands `RetryReason::Misdirected`.
pub(super) const PROTOCOL_MISDIRECTED: u8 = 6;

/// The protocol of this build.
pub(super) const PROTOCOL: u8 = PROTOCOL_MISDIRECTED;

/// A message from a client host to its coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToCoordinator {
    /// First frame: the sender's id, the receiver's token, and the sender's protocol;
    /// zero from hosts of earlier versions, which do not send it.
    #[serde(rename = "h")]
    Hello(HostId, u64, #[serde(default)] u8),
    /// A change in the state of a request.
    #[serde(rename = "a")]
    Update(RequestUpdate),
    /// Heartbeat. Holds microseconds of the sender's clock.
    #[serde(rename = "p")]
    Ping(u64),
    /// What a runner said about itself in a response to the sender.
    #[serde(rename = "n")]
    RunnerNotice(RunnerNotice),
    /// Requests the store's changes after this revision, and all later ones.
    #[serde(rename = "s")]
    Sync(u64),
    /// Versions of the streams that the sender knows.
    #[serde(rename = "v")]
    Streams(Vec<StreamRecord>),
    /// What the sender knows of suspects that may crash runners.
    #[serde(rename = "q")]
    Suspects(Vec<SuspectRecord>),
    /// What a response to the sender said of its runner's rate limit.
    #[serde(rename = "l")]
    Limit(LimitReport),
    /// What a response to the sender said of its runner's load.
    #[serde(rename = "o")]
    Load(RunnerName, RunnerLoad),
}

impl ToCoordinator {
    /// Returns the message as a host of this protocol understands it.
    #[must_use]
    pub(super) fn for_protocol(self, protocol: u8) -> Self {
        match self {
            Self::Update(RequestUpdate::Requeue(id, RetryReason::Misdirected))
                if protocol < PROTOCOL_MISDIRECTED =>
            {
                Self::Update(RequestUpdate::Requeue(id, RetryReason::RunnerLeaving))
            }
            other => other,
        }
    }
}

/// The rate limit of a run; none if it names no limit any more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunnerLimit {
    #[serde(rename = "k")]
    pub(super) key: RunnerKey,
    #[serde(rename = "l")]
    pub(super) per_s: Option<f64>,
}

/// A message from a coordinator to a client host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToHost {
    /// A decision on a request.
    #[serde(rename = "t")]
    Reply(PlacementReply),
    /// Response to a ping: the ping's value, the store revision up to which the
    /// coordinator knows all changes, the time since it last verified that, the
    /// number of hosts that it knows, and its protocol; the last two are zero from
    /// hosts of earlier versions, which do not send them.
    #[serde(rename = "p")]
    Pong(u64, u64, Duration, #[serde(default)] usize, #[serde(default)] u8),
    /// Entry of the runner that the next reply names, for a host that has not
    /// read the whole store yet.
    #[serde(rename = "n")]
    Runner(Box<RunnerEntry>),
    /// What a runner said about itself in a response to another host.
    #[serde(rename = "m")]
    RunnerNotice(RunnerNotice),
    /// Changes of the store.
    #[serde(rename = "c")]
    Changes(ChangeSet),
    /// The configuration in force, if the store came back with an older one.
    #[serde(rename = "o")]
    Config(MirroredItem),
    /// All changes that a sync requested have been sent.
    #[serde(rename = "e")]
    SyncEnd(SyncEnd),
    /// Versions of streams, for a host that keeps copies.
    #[serde(rename = "v")]
    Streams(Vec<StreamRecord>),
    /// What has changed of suspects that may crash runners.
    #[serde(rename = "q")]
    Suspects(Vec<SuspectRecord>),
    /// Rate limits of runners that have changed.
    #[serde(rename = "r")]
    Limits(Vec<RunnerLimit>),
    /// The sender does not coordinate, or no longer: choose another
    /// coordinator.
    #[serde(rename = "l")]
    NotCoordinator,
}

/// An encoded message. A message to many hosts is encoded once.
#[derive(Clone, Debug)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded.
    pub fn new<T>(message: &T) -> Result<Self, SessionError>
    where
        T: Serialize,
    {
        let mut buf = Vec::with_capacity(FRAME_BUFFER_BYTES);
        ciborium::into_writer(message, &mut buf).map_err(|e| SessionError::Codec(e.to_string()))?;
        Ok(Self(buf.into()))
    }
}

quick_error! {
    /// Reason for the end of a session.
    #[derive(Debug)]
    pub enum SessionError {
        /// The connection failed.
        Socket(cause: tungstenite::Error) {
            from()
            display("{cause}")
        }
        /// The connection could not be established.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// A message can't be encoded or decoded.
        Codec(cause: String) {
            display("can't encode or decode a frame: {cause}")
        }
        /// The other host did not respond, or accepted no data, in time.
        Timeout {
            display("the other host did not respond in time")
        }
        /// The hello is missing or has a wrong token.
        Handshake {
            display("missing or invalid hello")
        }
        /// The session was closed.
        Closed {
            display("the session was closed")
        }
    }
}

/// A connection between a client host and its coordinator.
pub struct SessionSocket(WebSocketStream<TcpStream>);

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

impl SessionSocket {
    /// Accepts a connection from a client host and returns the host's id and protocol.
    ///
    /// # Errors
    ///
    /// Fails unless the host presents this host's `token`.
    pub(super) async fn accept(
        stream: TcpStream,
        token: u64,
    ) -> Result<(Self, HostId, u8), SessionError> {
        set_socket_options(&stream);
        let mut socket = Self(accept_async_with_config(stream, Some(websocket_config())).await?);
        match socket.read().await? {
            ToCoordinator::Hello(host, shown, protocol) if shown == token => {
                Ok((socket, host, protocol))
            }
            _ => Err(SessionError::Handshake),
        }
    }

    /// Connects to the coordinator at `address` and presents its `token`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be reached.
    pub async fn connect(
        me: HostId,
        address: SocketAddr,
        token: u64,
    ) -> Result<Self, SessionError> {
        let mut socket = Self::open(address).await?;
        socket.send(Frame::new(&ToCoordinator::Hello(me, token, PROTOCOL))?).await?;
        Ok(socket)
    }

    /// Opens a connection to the host at `address` without a hello.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, SessionError> {
        let stream = tcp::connect(address).await?;
        set_socket_options(&stream);
        let url = format!("ws://{address}/fleet");
        let (socket, _) = client_async_with_config(url, stream, Some(websocket_config())).await?;
        Ok(Self(socket))
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or the message can't be decoded.
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
    /// Fails if the connection breaks, or the other host accepts no data in
    /// time.
    pub async fn send(&mut self, frame: Frame) -> Result<(), SessionError> {
        let sending = self.0.send(Message::Binary(frame.0));
        timeout(COORDINATOR_TIMEOUT, sending).await.map_err(|_| SessionError::Timeout)??;
        Ok(())
    }

    /// Sends a message, and all that are queued behind it, in as few writes as
    /// possible.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or the other host accepts no data in
    /// time.
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
        timeout(COORDINATOR_TIMEOUT, sending).await.map_err(|_| SessionError::Timeout)??;
        Ok(())
    }
}
