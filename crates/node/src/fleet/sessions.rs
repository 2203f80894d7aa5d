//! Sessions between a host and its coordinator.
//!
//! A host dials its coordinator only, so a fleet has one session for each host.
//! The one that dials asks for a sign of life; silence on either side ends the
//! session.

use std::time::Duration;

use comfreyway_core::{
    fleet::{Member, SHARE_LEASE},
    ids::HostId,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, UnboundedSender, channel},
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    control::Clock,
    events::{Event, log_event},
};

use super::wire::{Frame, PeerSocket, SessionError, ToCoordinator, ToHost};

/// Time between two signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of a coordinator after which its hosts decide without it. Longer
/// than a loaded host may take to answer, far shorter than a caller's target.
pub(super) const COORDINATOR_SILENCE: Duration = Duration::from_millis(700);

// A host uses its share by itself only when its coordinator no longer may.
const _: () = assert!(SHARE_LEASE.as_millis() < COORDINATOR_SILENCE.as_millis());

/// Silence of a host after which its requests count as gone.
const HOST_SILENCE: Duration = Duration::from_millis(1_500);

/// Time to connect and greet.
const GREETING_TIME: Duration = Duration::from_millis(600);

/// Most messages that wait for one session.
const QUEUE: usize = 8_192;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happens on sessions.
#[derive(Debug)]
pub(super) enum SessionEvent {
    /// A host asks this one from now on. The number tells its sessions apart.
    HostUp(HostId, u64, Sender<Frame>),
    /// A frame of a host.
    FromHost(HostId, u64, ToCoordinator),
    /// A session with a host has ended.
    HostDown(HostId, u64),
    /// The coordinator can be asked.
    CoordinatorUp(HostId, Sender<ToCoordinator>),
    /// A frame of the coordinator.
    FromCoordinator(HostId, ToHost),
    /// The coordinator can't be reached, or has fallen silent.
    CoordinatorDown(HostId),
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
                        log_event!(Event::ClientHostDisconnected, host:% = peer, cause:% = e);
                    }
                });
            }
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "peers", cause:% = e);
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
    let accepting = PeerSocket::accept(stream, token);
    let (mut socket, host) =
        timeout(GREETING_TIME, accepting).await.map_err(|_| SessionError::Greeting)??;
    let (tx, mut queue) = channel(QUEUE);
    tell(events, SessionEvent::HostUp(host.clone(), number, tx))?;
    let result = carry_host(&mut socket, (&host, number), &mut queue, events).await;
    tell(events, SessionEvent::HostDown(host, number))?;
    result
}

async fn carry_host(
    socket: &mut PeerSocket,
    (host, session): (&HostId, u64),
    queue: &mut Receiver<Frame>,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    loop {
        tokio::select! {
            frame = timeout(HOST_SILENCE, socket.read()) => {
                let frame = frame.map_err(|_| SessionError::Silence)??;
                tell(events, SessionEvent::FromHost(host.clone(), session, frame))?;
            }
            message = queue.recv() => {
                socket.send_all(message.ok_or(SessionError::Closed)?, queue).await?;
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
        log_event!(Event::CoordinatorDisconnected, host:% = host, cause:% = e);
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
    let connecting = PeerSocket::connect(me, to.address, to.token);
    let mut socket =
        timeout(GREETING_TIME, connecting).await.map_err(|_| SessionError::Silence)??;
    let (tx, mut queue) = channel(QUEUE);
    tell(events, SessionEvent::CoordinatorUp(to.id.clone(), tx))?;
    let mut ticks = interval(PING_INTERVAL);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = socket.read() => {
                heard = Instant::now();
                tell(events, SessionEvent::FromCoordinator(to.id.clone(), frame?))?;
            }
            message = queue.recv() => {
                let message = message.ok_or(SessionError::Closed)?;
                socket.send(Frame::new(&message)?).await?;
            }
            _ = ticks.tick() => {
                if heard.elapsed() > COORDINATOR_SILENCE {
                    return Err(SessionError::Silence);
                }
                let sent = clock.now().as_micros();
                socket.send(Frame::new(&ToCoordinator::Ping(sent))?).await?;
            }
        }
    }
}

fn tell(events: &UnboundedSender<SessionEvent>, event: SessionEvent) -> Result<(), SessionError> {
    events.send(event).map_err(|_| SessionError::Closed)
}
