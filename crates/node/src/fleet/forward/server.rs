//! The host that sends requests of others to runners.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use comfreyway_core::{fleet::RunnerPaths, ids::UpstreamName};
use futures_util::{Stream, stream};
use http_body_util::{BodyExt, Either, Empty, Full, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    events::{Event, log_event},
    fleet::{
        body::read_body,
        host_state::HostState,
        runner_connections::{RunnerConnection, connect, set_socket_options},
        unsent::Unsent,
    },
    metrics::FleetMetrics,
};

use super::hop::{self, Outcome};

/// Time to connect to a runner for another host, which waits meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time to receive a request of another host.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait after a failed accept.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Requests of other hosts that one thread forwards at a time. Its own callers come first.
pub(super) const MAX_FORWARDED: usize = 64;

/// Size of a request's body if no configuration is known.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Bytes of a request's head beyond those that callers may send.
const EXTRA_HEAD_BYTES: usize = 16 << 10;

/// Limits the requests of other hosts that are forwarded at a time.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet) struct ForwardSlots(Rc<Cell<usize>>);

impl ForwardSlots {
    fn take(&self) -> Option<ForwardSlot> {
        if self.0.get() >= MAX_FORWARDED {
            return None;
        }
        self.0.set(self.0.get() + 1);
        Some(ForwardSlot(self.clone()))
    }
}

/// A request that is being forwarded.
#[derive(Debug)]
struct ForwardSlot(ForwardSlots);

impl Drop for ForwardSlot {
    fn drop(&mut self) {
        let slots = &self.0.0;
        slots.set(slots.get() - 1);
    }
}

/// Forwards requests of other hosts on one traffic thread. Cheap to clone.
#[derive(Clone)]
pub(in crate::fleet) struct ForwardServer {
    pub(in crate::fleet) token: u64,
    pub(in crate::fleet) host_state: Arc<HostState>,
    pub(in crate::fleet) paths: Rc<RefCell<RunnerPaths>>,
    pub(in crate::fleet) slots: ForwardSlots,
    pub(in crate::fleet) metrics: FleetMetrics,
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, hyper::Error>>>>;
type ForwardBody = Either<Empty<Bytes>, StreamBody<FrameStream>>;

/// What is kept until the response has been forwarded.
struct Forwarding {
    body: Incoming,
    connection: RunnerConnection,
    _slot: ForwardSlot,
}

impl ForwardServer {
    /// Serves other hosts until the process ends.
    pub(in crate::fleet) async fn serve(self, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "forward", cause:% = e);
                return;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(self.clone().serve_connection(stream));
                }
                Err(e) => {
                    log_event!(Event::AcceptFailed, port = "forward", cause:% = e);
                    sleep(ACCEPT_RETRY_WAIT).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        set_socket_options(&stream);
        let unsent = Unsent::default();
        let stream = unsent.stream(stream);
        let head_bytes = self.host_state.config().map_or(0, |config| config.limits.max_head_bytes);
        let service = service_fn(move |req: Request<Incoming>| {
            let (server, unsent) = (self.clone(), unsent.clone());
            async move {
                let in_progress = server.host_state.start_request();
                let res = server.forward(req).await;
                Ok::<_, Infallible>(res.map(|body| unsent.track(body, in_progress)))
            }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .max_buf_size(head_bytes + EXTRA_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(e) = connection.await {
            log::debug!("connection of another host ended: {e}");
        }
    }

    async fn forward(&self, req: Request<Incoming>) -> Response<ForwardBody> {
        let (mut head, body) = req.into_parts();
        let attempt = hop::read::<u64>(&head.headers, &hop::ATTEMPT);
        let upstream = hop::read::<UpstreamName>(&head.headers, &hop::UPSTREAM);
        let runner = hop::read::<SocketAddr>(&head.headers, &hop::RUNNER).zip(upstream);
        let is_member = hop::read(&head.headers, &hop::TOKEN) == Some(self.token);
        let result = match runner.filter(|_| is_member) {
            Some((runner, upstream)) => {
                let to_request = |headers, body| {
                    let mut req = Request::new(Full::new(body));
                    *req.method_mut() = head.method;
                    *req.uri_mut() = head.uri;
                    *req.headers_mut() = headers;
                    req
                };
                self.send(&mut head.headers, (&upstream, runner), body, to_request).await
            }
            None => {
                log::warn!("a request to forward has no valid token or runner");
                Err(Outcome::Busy)
            }
        };
        let (outcome, mut res) = match result {
            Ok(res) => (Outcome::Response, res),
            Err(outcome @ Outcome::Unknown) => (outcome, status(StatusCode::BAD_GATEWAY)),
            Err(outcome) => (outcome, status(StatusCode::SERVICE_UNAVAILABLE)),
        };
        self.metrics.forwarded(outcome.as_str());
        hop::set(res.headers_mut(), hop::OUTCOME, outcome.as_str());
        if let Some(attempt) = attempt {
            hop::set(res.headers_mut(), hop::ATTEMPT, attempt);
        }
        res
    }

    /// Fails if this host knows that it can't connect to a runner.
    fn check_path(&self, upstream: &UpstreamName, runner: SocketAddr) -> Result<(), Outcome> {
        let is_lost = {
            let paths = self.paths.borrow();
            paths.is_cut_off_from(upstream) || paths.is_unreachable(runner)
        };
        if is_lost { Err(self.lost_path(upstream)) } else { Ok(()) }
    }

    /// Returns what a failed connection says of the runner: nothing, if this host reaches no
    /// other one of the upstream.
    fn lost_path(&self, upstream: &UpstreamName) -> Outcome {
        let reaches = self.paths.borrow().reaches(self.host_state.clock.now(), upstream);
        if reaches { Outcome::Unreachable } else { Outcome::CutOff }
    }

    /// Sends a request to the runner.
    async fn send<F>(
        &self,
        headers: &mut HeaderMap,
        (upstream, runner): (&UpstreamName, SocketAddr),
        mut body: Incoming,
        to_request: F,
    ) -> Result<Response<ForwardBody>, Outcome>
    where
        F: FnOnce(HeaderMap, Bytes) -> Request<Full<Bytes>>,
    {
        if self.host_state.is_stopping() {
            return Err(Outcome::Busy);
        }
        let slot = self.slots.take().ok_or(Outcome::Busy)?;
        self.check_path(upstream, runner)?;
        let max = self.host_state.config().map_or(MAX_BODY_BYTES, |c| c.limits.max_body_bytes);
        let caller = self.host_state.caller_memory.request();
        let body = timeout(READ_TIMEOUT, read_body(&mut body, max, &caller)).await;
        // The whole request is here before its first byte goes to the runner.
        let body = body.map_err(|_| Outcome::Busy)?.map_err(|_| Outcome::Busy)?;
        let now = || self.host_state.clock.now();
        let mut connection = match connect(runner, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(failure) => {
                if self.paths.borrow_mut().connect_failed(now(), upstream, runner) {
                    log_event!(
                        Event::RunnerUnreachable,
                        address:% = runner,
                        reason = failure.as_str()
                    );
                }
                return Err(self.lost_path(upstream));
            }
        };
        self.paths.borrow_mut().connected(now(), upstream, runner);
        hop::clear(headers);
        headers.remove(CONNECTION);
        headers.remove(TRANSFER_ENCODING);
        let req = to_request(std::mem::take(headers), body);
        match connection.try_send(req).await {
            Ok(res) => Ok(response(res, connection, slot)),
            Err((_, Some(_))) => Err(Outcome::Unreachable),
            Err((cause, None)) => {
                log::debug!("no response to a forwarded request from {runner}: {cause}");
                Err(Outcome::Unknown)
            }
        }
    }
}

/// Returns the runner's response, with its body as it arrives.
fn response(
    res: Response<Incoming>,
    connection: RunnerConnection,
    slot: ForwardSlot,
) -> Response<ForwardBody> {
    let (mut head, body) = res.into_parts();
    hop::clear(&mut head.headers);
    let has_length = body.size_hint().exact().is_some();
    if !has_length && !head.headers.contains_key(TRANSFER_ENCODING) {
        hop::set(&mut head.headers, hop::UNFRAMED, 1);
    }
    head.headers.remove(TRANSFER_ENCODING);
    head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if !has_length {
        head.headers.remove(CONTENT_LENGTH);
    }
    let forwarding = Forwarding { body, connection, _slot: slot };
    let frames = stream::unfold(forwarding, |mut forwarding| async move {
        forwarding.connection.progress.advance();
        let frame = forwarding.body.frame().await?;
        Some((frame, forwarding))
    });
    Response::from_parts(head, Either::Right(StreamBody::new(Box::pin(frames))))
}

fn status(status: StatusCode) -> Response<ForwardBody> {
    let mut res = Response::new(Either::Left(Empty::new()));
    *res.status_mut() = status;
    res
}
