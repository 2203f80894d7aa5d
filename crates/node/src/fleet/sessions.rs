//! Messages between a host and its coordinator.
//!
//! A host dials its coordinator only, so a fleet has one session for each host.
//! The one that dials asks for a sign of life; silence on either side ends the
//! session.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyway_core::{
    fleet::{Ask, Member, SHARE_LEASE, Tell},
    ids::HostId,
};
use futures_util::{SinkExt, StreamExt};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, UnboundedSender, channel},
    time::{Instant, interval, sleep, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use crate::{
    control::Clock,
    events::{Event, log_event},
};

use super::{
    links::watch_silence,
    mirror::{ChangeSet, Complete},
};

/// Time between two signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of a coordinator after which its hosts decide without it. Longer
/// than a loaded host may take to answer, far shorter than a caller's target.
const COORDINATOR_SILENCE: Duration = Duration::from_millis(700);

// A host uses its share by itself only when its coordinator no longer may.
const _: () = assert!(SHARE_LEASE.as_millis() < COORDINATOR_SILENCE.as_millis());

/// Silence of a host after which its requests count as gone.
const HOST_SILENCE: Duration = Duration::from_millis(1_500);

/// Time to connect and greet.
const GREETING_TIME: Duration = Duration::from_millis(600);

/// Most messages that wait for one session.
const QUEUE: usize = 8_192;

/// Messages that wait for the same host go out together up to this size.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Largest frame in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a host sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum ToCoordinator {
    /// First frame: who asks, and the token of the one that is asked.
    #[serde(rename = "h")]
    Hello(HostId, u64),
    /// A question or report.
    #[serde(rename = "a")]
    Ask(Ask),
    /// Asks for a sign of life. Holds microseconds of the asking host's clock.
    #[serde(rename = "p")]
    Ping(u64),
    /// Asks for what changed in the store after this revision, from now on too.
    #[serde(rename = "s")]
    Sync(u64),
}

/// What a coordinator sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum ToHost {
    /// An answer.
    #[serde(rename = "t")]
    Tell(Tell),
    /// Answers a ping with its value, the store's revision up to which the
    /// coordinator knows all changes, and the age of the proof of that.
    #[serde(rename = "p")]
    Pong(u64, u64, Duration),
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

/// A message to a host as it goes out. What many hosts are told is written once.
#[derive(Clone, Debug)]
pub(super) struct Frame(Bytes);

impl Frame {
    /// None, with a line in the log, if the message can't be written.
    pub(super) fn new(message: &ToHost) -> Option<Self> {
        let frame = encode(message);
        frame.map(Self).map_err(|e| log::error!("a message to a host is lost: {e}")).ok()
    }
}

/// What happens on sessions.
#[derive(Debug)]
pub(super) enum SessionEvent {
    /// A host asks this one from now on. The number tells its sessions apart.
    HostUp(HostId, u64, Sender<Frame>),
    /// A frame of a host.
    FromHost(HostId, ToCoordinator),
    /// A session with a host has ended.
    HostDown(HostId, u64),
    /// The coordinator can be asked.
    CoordinatorUp(HostId, Sender<ToCoordinator>),
    /// A frame of the coordinator.
    FromCoordinator(HostId, ToHost),
    /// The coordinator can't be reached, or has fallen silent.
    CoordinatorDown(HostId),
}

quick_error! {
    /// Why a session ended.
    #[derive(Debug)]
    enum SessionError {
        Socket(cause: tungstenite::Error) {
            from()
            display("{cause}")
        }
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        Codec(cause: String) {
            display("a frame can't be read or written: {cause}")
        }
        Silence {
            display("the other side has fallen silent")
        }
        Greeting {
            display("the greeting is missing or wrong")
        }
        Closed {
            display("the session was closed")
        }
    }
}

type Socket = WebSocketStream<TcpStream>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(4 << 10)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Accepts hosts until the process ends. `token` is this host's own.
pub(super) async fn accept(
    listener: TcpListener,
    token: u64,
    events: UnboundedSender<SessionEvent>,
) {
    let mut number = 0;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                number += 1;
                let events = events.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = serve_host(stream, token, number, &events).await {
                        log_event!(Event::HostLeft, host:% = peer, cause:% = e);
                    }
                });
            }
            Err(e) => {
                log_event!(Event::ListenerFailed, port = "peers", cause:% = e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_host(
    stream: TcpStream,
    token: u64,
    number: u64,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    watch_silence(&stream);
    let greeting = async {
        let mut socket = accept_async_with_config(stream, Some(config())).await?;
        match read(&mut socket).await? {
            ToCoordinator::Hello(host, shown) if shown == token => Ok((socket, host)),
            _ => Err(SessionError::Greeting),
        }
    };
    let (mut socket, host) =
        timeout(GREETING_TIME, greeting).await.map_err(|_| SessionError::Greeting)??;
    let (tx, mut queue) = channel(QUEUE);
    tell(events, SessionEvent::HostUp(host.clone(), number, tx))?;
    let result = carry_host(&mut socket, &host, &mut queue, events).await;
    tell(events, SessionEvent::HostDown(host, number))?;
    result
}

async fn carry_host(
    socket: &mut Socket,
    host: &HostId,
    queue: &mut Receiver<Frame>,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    loop {
        tokio::select! {
            frame = timeout(HOST_SILENCE, read(socket)) => {
                let frame = frame.map_err(|_| SessionError::Silence)??;
                tell(events, SessionEvent::FromHost(host.clone(), frame))?;
            }
            message = queue.recv() => {
                send(socket, message.ok_or(SessionError::Closed)?, queue).await?;
            }
        }
    }
}

/// Keeps a session with a coordinator. Ends with it.
pub(super) async fn dial(
    me: HostId,
    to: Member,
    clock: Clock,
    events: UnboundedSender<SessionEvent>,
) {
    let host = to.id.clone();
    if let Err(e) = ask_coordinator(me, &to, clock, &events).await {
        log_event!(Event::CoordinatorLost, host:% = host, cause:% = e);
    }
    if events.send(SessionEvent::CoordinatorDown(host)).is_err() {
        log::debug!("nobody listens for sessions any more");
    }
}

async fn ask_coordinator(
    me: HostId,
    to: &Member,
    clock: Clock,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    let connecting = connect(me, to.address, to.token);
    let mut socket =
        timeout(GREETING_TIME, connecting).await.map_err(|_| SessionError::Silence)??;
    let (tx, mut queue) = channel(QUEUE);
    tell(events, SessionEvent::CoordinatorUp(to.id.clone(), tx))?;
    let mut ticks = interval(PING_INTERVAL);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = read(&mut socket) => {
                heard = Instant::now();
                tell(events, SessionEvent::FromCoordinator(to.id.clone(), frame?))?;
            }
            message = queue.recv() => {
                let message = message.ok_or(SessionError::Closed)?;
                write(&mut socket, &message).await?;
            }
            _ = ticks.tick() => {
                if heard.elapsed() > COORDINATOR_SILENCE {
                    return Err(SessionError::Silence);
                }
                let sent = clock.now().as_micros();
                write(&mut socket, &ToCoordinator::Ping(sent)).await?;
            }
        }
    }
}

async fn connect(me: HostId, address: SocketAddr, token: u64) -> Result<Socket, SessionError> {
    let stream = TcpStream::connect(address).await?;
    watch_silence(&stream);
    let url = format!("ws://{address}/fleet");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config())).await?;
    write(&mut socket, &ToCoordinator::Hello(me, token)).await?;
    Ok(socket)
}

async fn read<T>(socket: &mut Socket) -> Result<T, SessionError>
where
    T: DeserializeOwned,
{
    loop {
        match socket.next().await.ok_or(SessionError::Closed)?? {
            Message::Binary(buf) => {
                return ciborium::from_reader(&buf[..])
                    .map_err(|e| SessionError::Codec(e.to_string()));
            }
            Message::Close(_) => return Err(SessionError::Closed),
            _ => {}
        }
    }
}

async fn write<T>(socket: &mut Socket, message: &T) -> Result<(), SessionError>
where
    T: Serialize,
{
    let frame = Frame(encode(message)?);
    let sending = socket.send(Message::Binary(frame.0));
    timeout(COORDINATOR_SILENCE, sending).await.map_err(|_| SessionError::Silence)??;
    Ok(())
}

/// Sends a frame, and all that wait behind it, in as few writes as possible.
async fn send(
    socket: &mut Socket,
    first: Frame,
    queue: &mut Receiver<Frame>,
) -> Result<(), SessionError> {
    let sending = async {
        socket.feed(Message::Binary(first.0)).await?;
        while let Ok(next) = queue.try_recv() {
            socket.feed(Message::Binary(next.0)).await?;
        }
        socket.flush().await
    };
    timeout(COORDINATOR_SILENCE, sending).await.map_err(|_| SessionError::Silence)??;
    Ok(())
}

fn encode<T>(message: &T) -> Result<Bytes, SessionError>
where
    T: Serialize,
{
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut buf).map_err(|e| SessionError::Codec(e.to_string()))?;
    Ok(buf.into())
}

fn tell(events: &UnboundedSender<SessionEvent>, event: SessionEvent) -> Result<(), SessionError> {
    events.send(event).map_err(|_| SessionError::Closed)
}
