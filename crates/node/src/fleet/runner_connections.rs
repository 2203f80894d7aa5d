//! Connections to runners.
//!
//! A connection carries one request at a time, and no request twice. It is reused only
//! after a complete response that ends its request; anything else closes it, so that
//! late bytes and second copies never reach the next attempt.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyway_core::{fleet::RunnerKey, outcome::RetryReason};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::tcp;

use super::runner_stream::{ReadProgress, RunnerStream};

/// Connect timeout. Data centres of a region are a few milliseconds apart, and
/// one lost packet costs a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle timeout if the runner sends no keep-alive timeout. Common servers close
/// idle connections after five seconds.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the runner's keep-alive timeout at which a connection is closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is broken.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Time for sent data to be acknowledged before a connection is broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of idle connections to one runner; a runner works on a few
/// requests at a time.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A connection that is in use for one request.
pub(super) struct RunnerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    pub(super) progress: ReadProgress,
}

impl RunnerConnection {
    /// Sends a request and waits for the response head. An error holds the request if
    /// nothing of it was written.
    pub(super) async fn try_send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (String, Option<Request<Full<Bytes>>>)> {
        self.progress.begin();
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message();
            (e.into_error().to_string(), unsent)
        })
    }
}

struct IdleConnection {
    connection: RunnerConnection,
    since: Instant,
    until: Instant,
}

/// A request whose response has begun.
pub(super) struct SentRequest {
    pub(super) res: Response<Incoming>,
    pub(super) connection: RunnerConnection,
    /// True if the connection was opened for it.
    pub(super) is_new: bool,
}

/// Reason for a missing response head.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// No byte of the request was sent.
    NotSent(RetryReason),
    /// The request may have run.
    Unknown(String),
}

impl SendFailure {
    /// Returns the reason for logs.
    pub(super) fn as_str(&self) -> &str {
        match self {
            Self::NotSent(reason) => reason.as_str(),
            Self::Unknown(cause) => cause,
        }
    }
}

/// Connections of one traffic thread to runners.
#[derive(Default)]
pub(super) struct RunnerConnections {
    idle: RefCell<HashMap<RunnerKey, Vec<IdleConnection>>>,
}

impl RunnerConnections {
    /// Sends a request to a runner and waits for the response head. Uses no connection
    /// that has been idle for longer than `max_idle`.
    pub(super) async fn send(
        &self,
        runner: &RunnerKey,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
        max_idle: Option<Duration>,
    ) -> Result<SentRequest, SendFailure> {
        while let Some(mut connection) = self.take_idle(runner, max_idle) {
            match connection.try_send(req).await {
                Ok(res) => return Ok(SentRequest { res, connection, is_new: false }),
                // The connection was closed before anything was written.
                Err((_, Some(unsent))) => req = unsent,
                Err((cause, None)) => return Err(SendFailure::Unknown(cause)),
            }
        }
        let mut connection = connect(address, CONNECT_TIMEOUT).await?;
        match connection.try_send(req).await {
            Ok(res) => Ok(SentRequest { res, connection, is_new: true }),
            Err((_, Some(_))) => Err(SendFailure::NotSent(RetryReason::ConnectRefused)),
            Err((cause, None)) => Err(SendFailure::Unknown(cause)),
        }
    }

    /// Keeps a connection for reuse after a complete response. `keep_alive`
    /// is the keep-alive timeout of the runner, if it sent one, and `max_idle`
    /// the number of idle connections that may be kept.
    pub(super) fn release(
        &self,
        runner: &RunnerKey,
        connection: RunnerConnection,
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| {
            keep_alive.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        if connection.sender.is_closed() || idle_timeout.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(runner.clone()).or_default();
        if idle.len() < max_idle.min(MAX_IDLE_CONNECTIONS) {
            let since = Instant::now();
            idle.push(IdleConnection { connection, since, until: since + idle_timeout });
        }
    }

    /// Closes expired connections.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn take_idle(
        &self,
        runner: &RunnerKey,
        max_idle: Option<Duration>,
    ) -> Option<RunnerConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(runner)?;
        let now = Instant::now();
        while let Some(IdleConnection { connection, since, until }) = idle.pop() {
            let is_recent = max_idle.is_none_or(|max| now - since < max);
            if is_recent && until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

/// Opens a connection. Nothing is sent yet.
pub(super) async fn connect(
    address: SocketAddr,
    max_time: Duration,
) -> Result<RunnerConnection, SendFailure> {
    let stream = match timeout(max_time, tcp::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            log::debug!("can't connect to {address}: {e}");
            return Err(SendFailure::NotSent(RetryReason::ConnectRefused));
        }
        Err(_) => return Err(SendFailure::NotSent(RetryReason::ConnectTimeout)),
    };
    set_socket_options(&stream);
    let progress = ReadProgress::default();
    let stream = RunnerStream::new(stream, progress.clone());
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|_| SendFailure::NotSent(RetryReason::ConnectRefused))?;
    actix_rt::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection to {address} ended: {e}");
        }
    });
    Ok(RunnerConnection { sender, progress })
}

/// Sets socket options that make the kernel break a connection to an
/// unresponsive peer.
pub(super) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(e) = set {
        log::debug!("can't set socket options: {e}");
    }
}
