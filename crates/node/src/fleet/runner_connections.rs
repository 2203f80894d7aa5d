//! Connections to runners.
//!
//! A connection carries one request at a time. It is reused only after a
//! complete response; anything unexpected closes it, so that late bytes never
//! reach the next request.

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

use super::runner_stream::{ReadProgress, RunnerStream};

/// Connect timeout. Data centres of a region are a few milliseconds apart, and
/// one lost packet costs a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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

struct IdleConnection {
    connection: RunnerConnection,
    until: Instant,
}

/// Reason for a missing response head.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// No byte of the request was sent.
    NotSent(RetryReason),
    /// The request may have run.
    Unknown(String),
}

/// Connections of one traffic thread to runners.
#[derive(Default)]
pub(super) struct RunnerConnections {
    idle: RefCell<HashMap<RunnerKey, Vec<IdleConnection>>>,
}

impl RunnerConnections {
    /// Sends a request to a runner and waits for the response head.
    pub(super) async fn send(
        &self,
        runner: &RunnerKey,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, RunnerConnection), SendFailure> {
        while let Some(mut connection) = self.take_idle(runner) {
            connection.progress.advance();
            match connection.sender.try_send_request(req).await {
                Ok(res) => return Ok((res, connection)),
                Err(mut e) => match e.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => req = unsent,
                    None => return Err(SendFailure::Unknown(e.into_error().to_string())),
                },
            }
        }
        let mut connection = connect(address).await?;
        match connection.sender.try_send_request(req).await {
            Ok(res) => Ok((res, connection)),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => SendFailure::NotSent(RetryReason::ConnectRefused),
                None => SendFailure::Unknown(e.into_error().to_string()),
            }),
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
            idle.push(IdleConnection { connection, until: Instant::now() + idle_timeout });
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

    fn take_idle(&self, runner: &RunnerKey) -> Option<RunnerConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(runner)?;
        let now = Instant::now();
        while let Some(IdleConnection { connection, until }) = idle.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> Result<RunnerConnection, SendFailure> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            log::debug!("can't connect to runner at {address}: {e}");
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
            log::debug!("connection to runner at {address} ended: {e}");
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
