//! Sessions between client hosts and their coordinator.
//!
//! A host connects only to its coordinator, so a fleet has one session for each
//! client host. The client host sends heartbeats; silence on either side ends
//! the session.

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

use super::wire::{Frame, SessionError, SessionSocket, ToCoordinator, ToHost};

#[cfg(test)]
mod tests;

/// Interval of heartbeats.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of a coordinator after which its client hosts schedule for
/// themselves. Longer than a loaded host may take to respond, far shorter than
/// a caller's target.
pub(super) const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(700);

// A host uses its own share of a quota only after its coordinator's lease on it
// has expired.
const _: () = assert!(SHARE_LEASE.as_millis() < COORDINATOR_TIMEOUT.as_millis());

/// Silence of a client host after which its requests are discarded.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time to connect and send the hello.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for a host to respond that may become the coordinator; shorter, so that it is known
/// when an attempt to connect to another one ends.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

const _: () = assert!(PROBE_TIMEOUT.as_millis() < HANDSHAKE_TIMEOUT.as_millis());

/// Maximum number of messages queued for one session.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Wait after a failed accept.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// An event of a session.
#[derive(Debug)]
pub(super) enum SessionEvent {
    /// A client host of this protocol has connected. The number identifies the
    /// session.
    HostUp(HostId, u64, Sender<Frame>, u8),
    /// A message from a client host.
    FromHost(HostId, u64, ToCoordinator),
    /// A session with a client host has ended.
    HostDown(HostId, u64),
    /// The session of this number with a coordinator is up.
    CoordinatorUp(HostId, u64, Sender<ToCoordinator>),
    /// A message from a coordinator.
    FromCoordinator(HostId, u64, ToHost),
    /// A coordinator can't be reached, or the session of this number with it has ended.
    CoordinatorDown(HostId, u64, SessionEnd),
    /// Whether a host that may become the coordinator responds.
    Probed(HostId, bool),
}

/// How a session with the coordinator ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SessionEnd {
    /// The host did not respond in time.
    Silence,
    Other,
}

/// Accepts client hosts until the process ends. `token` is this host's own.
pub(super) async fn accept(
    listener: TcpListener,
    token: u64,
    events: UnboundedSender<SessionEvent>,
) {
    let mut session = 0;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                session += 1;
                let events = events.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = serve_host(stream, token, session, &events).await {
                        log_event!(Event::ClientHostDisconnected, host:% = peer, cause:% = e);
                    }
                });
            }
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "peers", cause:% = e);
                sleep(ACCEPT_RETRY_WAIT).await;
            }
        }
    }
}

async fn serve_host(
    stream: TcpStream,
    token: u64,
    session: u64,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    let accepting = SessionSocket::accept(stream, token);
    let (mut socket, host, protocol) =
        timeout(HANDSHAKE_TIMEOUT, accepting).await.map_err(|_| SessionError::Handshake)??;
    let (tx, mut queue) = channel(MAX_QUEUED_MESSAGES);
    notify(events, SessionEvent::HostUp(host.clone(), session, tx, protocol))?;
    let result = run_host_session(&mut socket, (&host, session), &mut queue, events).await;
    notify(events, SessionEvent::HostDown(host, session))?;
    result
}

async fn run_host_session(
    socket: &mut SessionSocket,
    (host, session): (&HostId, u64),
    queue: &mut Receiver<Frame>,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    loop {
        tokio::select! {
            frame = timeout(HOST_TIMEOUT, socket.read()) => {
                let frame = frame.map_err(|_| SessionError::Timeout)??;
                notify(events, SessionEvent::FromHost(host.clone(), session, frame))?;
            }
            message = queue.recv() => {
                socket.send_all(message.ok_or(SessionError::Closed)?, queue).await?;
            }
        }
    }
}

/// Finds out whether a host responds. It is told nothing.
pub(super) async fn probe(member: Member, events: UnboundedSender<SessionEvent>) {
    let connecting = SessionSocket::open(member.address);
    let responds = match timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(_)) => true,
        Err(_) => false,
        // It refuses at once, and costs no time if it is tried.
        Ok(Err(e)) => {
            log::debug!("host {} refuses connections: {e}", member.id);
            return;
        }
    };
    if events.send(SessionEvent::Probed(member.id, responds)).is_err() {
        log::debug!("the control actor has ended; the result of a probe is not reported");
    }
}

/// Connects to a coordinator and runs the session of this number until it ends.
pub(super) async fn dial(
    local: HostId,
    coordinator: Member,
    session: u64,
    clock: Clock,
    events: UnboundedSender<SessionEvent>,
) {
    let host = coordinator.id.clone();
    let mut end = SessionEnd::Other;
    if let Err(e) = run_coordinator_session(local, &coordinator, session, clock, &events).await {
        log_event!(Event::CoordinatorDisconnected, host:% = host, cause:% = e);
        if matches!(e, SessionError::Timeout) {
            end = SessionEnd::Silence;
        }
    }
    if events.send(SessionEvent::CoordinatorDown(host, session, end)).is_err() {
        log::debug!("the control actor has ended; the end of a session is not reported");
    }
}

async fn run_coordinator_session(
    local: HostId,
    coordinator: &Member,
    session: u64,
    clock: Clock,
    events: &UnboundedSender<SessionEvent>,
) -> Result<(), SessionError> {
    let connecting = SessionSocket::connect(local, coordinator.address, coordinator.token);
    let mut socket =
        timeout(HANDSHAKE_TIMEOUT, connecting).await.map_err(|_| SessionError::Timeout)??;
    let (tx, mut queue) = channel(MAX_QUEUED_MESSAGES);
    let host = &coordinator.id;
    notify(events, SessionEvent::CoordinatorUp(host.clone(), session, tx))?;
    let mut pings = interval(PING_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            frame = socket.read() => {
                last_received = Instant::now();
                let message = SessionEvent::FromCoordinator(host.clone(), session, frame?);
                notify(events, message)?;
            }
            message = queue.recv() => {
                let message = message.ok_or(SessionError::Closed)?;
                socket.send(Frame::new(&message)?).await?;
            }
            _ = pings.tick() => {
                if last_received.elapsed() > COORDINATOR_TIMEOUT {
                    return Err(SessionError::Timeout);
                }
                let sent = clock.now().as_micros();
                socket.send(Frame::new(&ToCoordinator::Ping(sent))?).await?;
            }
        }
    }
}

fn notify(events: &UnboundedSender<SessionEvent>, event: SessionEvent) -> Result<(), SessionError> {
    events.send(event).map_err(|_| SessionError::Closed)
}
