//! One attempt to send a request to a runner.

use std::{fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyway_core::{
    fleet::{LimitReport, RunnerEntry, RunnerKey, RunnerLoad, RunnerNotice, RunnerVersion},
    ids::RunnerName,
    outcome::{RetryReason, UnknownReason},
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderName, RETRY_AFTER},
};
use tokio::time::{Instant, timeout_at};

use crate::events::{Event, ListStart, Optional, log_event};
use crate::fleet::{
    platform_format::header,
    response_memory::HeldBytes,
    runner_connections::{RunnerConnection, RunnerConnections, SendFailure},
};
use crate::upstream::{JsonScan, is_final_status, is_json, media_type};

use super::{
    admitted::AdmittedRequest,
    framing::Framing,
    handler::ProxyState,
    send::{ReceivedResponse, ResponseRoute},
};

/// Maximum time for which a runner is left alone at its own request.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 32;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Result of an attempt, up to the response head.
pub(super) enum Attempt {
    /// The runner responds with this head.
    Response(Box<RunnerResponse>),
    /// The runner is known not to have run the request.
    NotRun(RetryReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// What a runner says about itself in a response, and the way of the request.
#[derive(Debug, Default)]
pub(super) struct RunnerStatements {
    /// True if the request went through another host, which may have failed in place of
    /// the runner.
    pub(super) is_forwarded: bool,
    pub(super) notice: Option<RunnerNotice>,
    /// Its rate limit. None if there was no response, or the limit can't be read.
    pub(super) limit: Option<LimitReport>,
    /// Its load, if that is out of the ordinary.
    pub(super) load: Option<(RunnerName, RunnerLoad)>,
}

/// A response whose body is being read.
pub(super) struct RunnerResponse {
    pub(super) runner: RunnerKey,
    /// Version of the runner's software, if it is known.
    pub(super) version: Option<RunnerVersion>,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    body: Incoming,
    pub(super) sent_at: Instant,
    route: ResponseRoute,
    connection: RunnerConnection,
    keep_alive: Option<Duration>,
    /// Idle connections that may be kept to the runner.
    max_idle_connections: usize,
}

/// Sends a request and checks that the response belongs to it.
pub(super) async fn attempt(
    proxy: &ProxyState,
    request: &AdmittedRequest,
    runner: &RunnerEntry,
    after: Option<u64>,
) -> (Attempt, RunnerStatements) {
    let sent_at = Instant::now();
    log_event!(
        Event::RequestDispatched,
        id = request.caller_id.as_str(),
        runner:% = runner.key.name,
        address:% = runner.address,
        version:% = Optional(runner.version.as_ref()),
        workspace:% = request.placement.record.workspace,
        cost = request.placement.cost,
        waited_ms = request.arrived.elapsed().as_millis() as u64,
        left_ms = request.deadline.saturating_duration_since(sent_at).as_millis() as u64,
        after:% = Optional(after),
        resumes = request.resumes.as_deref().unwrap_or("none"),
        parts:% = ListStart(&request.placement.parts, MAX_LOGGED_PARTS),
        digest:% = Optional(request.placement.digest)
    );
    let mut is_forwarded = false;
    let sending = proxy.send(request, runner, after, &mut is_forwarded);
    let received = timeout_at(request.deadline, sending).await;
    let none = RunnerStatements { is_forwarded, ..RunnerStatements::default() };
    let ReceivedResponse { res, connection, route } = match received {
        Ok(Ok(received)) => received,
        Ok(Err(SendFailure::NotSent(reason))) => return (Attempt::NotRun(reason), none),
        Ok(Err(SendFailure::Unknown(cause))) => {
            log_unusable_response(request, runner, &cause, sent_at);
            return (Attempt::Unknown(UnknownReason::UpstreamBroke), none);
        }
        Err(_) => return (Attempt::Unknown(UnknownReason::UpstreamTimeout), none),
    };
    // Any response on this connection is the runner's, even one to an earlier
    // request.
    let statements = RunnerStatements {
        notice: runner_notice(request, runner, &res),
        limit: limit_report(request, runner, &res, sent_at),
        load: unusual_load(request, runner, &res),
        is_forwarded,
    };
    if !echoes_request_id(request, &res) {
        log_unusable_response(request, runner, "the response belongs to another request", sent_at);
        return (Attempt::Unknown(UnknownReason::UpstreamBroke), statements);
    }
    let (head, body) = res.into_parts();
    let keep_alive = keep_alive_timeout(&head.headers);
    let (status, headers) = (head.status, head.headers);
    let upstream = request.config.upstreams.get(&runner.upstream);
    let max_idle_connections = upstream
        .map_or(0, |upstream| upstream.max_idle_connections(runner.slots, request.known_hosts));
    let key = runner.key.clone();
    let framing = match route {
        ResponseRoute::Forwarded { is_unframed: true } => Framing::Connection,
        _ => Framing::new(&headers, &body),
    };
    let response = RunnerResponse {
        route,
        runner: key,
        version: runner.version.clone(),
        status,
        headers,
        framing,
        body,
        sent_at,
        connection,
        keep_alive,
        max_idle_connections,
    };
    let other_runner = status == StatusCode::MISDIRECTED_REQUEST;
    if other_runner || response.headers.contains_key(request.header_names.not_executed) {
        // Another copy of the response may follow. Its id is that of the next attempt too, so
        // the connection is closed.
        drop(response);
        let reason = match other_runner {
            true => RetryReason::Misdirected,
            false => RetryReason::TurnedAway,
        };
        return (Attempt::NotRun(reason), statements);
    }
    if !is_final_status(status.as_u16()) {
        log_unusable_response(request, runner, "the status is invalid", sent_at);
        return (Attempt::Unknown(UnknownReason::UpstreamBroke), statements);
    }
    if status.is_success() && !response.is_signed(request) {
        log_unusable_response(
            request,
            runner,
            "the runner's signature is missing, or the body is content-encoded",
            sent_at,
        );
        return (Attempt::Unknown(UnknownReason::UpstreamBroke), statements);
    }
    (Attempt::Response(Box::new(response)), statements)
}

impl RunnerResponse {
    fn is_signed(&self, request: &AdmittedRequest) -> bool {
        self.headers.contains_key(request.header_names.signature)
            && !self.headers.contains_key(CONTENT_ENCODING)
    }

    /// Returns true if the body consists of events. A response without a media type
    /// counts as one.
    pub(super) fn is_event_stream(&self) -> bool {
        let media_type = self.media_type();
        media_type.is_empty() || media_type == "text/event-stream"
    }

    fn media_type(&self) -> String {
        media_type(self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()))
    }

    /// Reads the next frame of the body; returns `None` at its end.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.connection.progress.advance();
        self.body.frame().await
    }

    /// Reads the body to its end.
    pub(super) async fn read_whole(
        &mut self,
        caller_id: &str,
        deadline: Instant,
        held: &mut HeldBytes,
    ) -> Result<Bytes, UnknownReason> {
        let mut whole = BytesMut::new();
        loop {
            let frame = match timeout_at(deadline, self.frame()).await {
                Err(_) => return Err(UnknownReason::UpstreamTimeout),
                Ok(None) if self.is_truncated(&whole) => {
                    let cause = "the connection ended inside the body";
                    return Err(self.log_broken_body(caller_id, &cause));
                }
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(frame)) => frame,
            };
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(e) => return Err(self.log_broken_body(caller_id, &e)),
            };
            if let Err(e) = held.set(whole.len() + data.len()) {
                return Err(self.log_broken_body(caller_id, &e));
            }
            whole.extend_from_slice(&data);
        }
    }

    /// Returns true if the body of a response without framing ended too early. Only
    /// JSON shows that.
    fn is_truncated(&self, body: &[u8]) -> bool {
        if self.framing != Framing::Connection || !is_json(&self.media_type()) {
            return false;
        }
        let mut scan = JsonScan::default();
        scan.feed(body);
        body.is_empty() || scan.is_open()
    }

    fn log_broken_body(&self, caller_id: &str, cause: &dyn fmt::Display) -> UnknownReason {
        log_event!(
            Event::RunnerResponseUnusable,
            id = caller_id,
            runner:% = self.runner.name,
            cause:% = cause,
            after_ms = self.sent_at.elapsed().as_millis() as u64
        );
        UnknownReason::UpstreamBroke
    }

    /// Keeps the connection for reuse, after the end of the body. The request must not be
    /// sent again: its next attempt would take another copy of the response for its own.
    pub(super) fn keep_connection(self, connections: &RunnerConnections) {
        if self.framing == Framing::Connection || self.route != ResponseRoute::Direct {
            return;
        }
        connections.release(
            &self.runner,
            self.connection,
            self.keep_alive,
            self.max_idle_connections,
        );
    }
}

fn log_unusable_response(
    request: &AdmittedRequest,
    runner: &RunnerEntry,
    cause: &str,
    sent_at: Instant,
) {
    log_event!(
        Event::RunnerResponseUnusable,
        id = request.caller_id.as_str(),
        runner:% = runner.key.name,
        cause = cause,
        after_ms = sent_at.elapsed().as_millis() as u64
    );
}

/// Returns true if the response names the request's id, and no other.
fn echoes_request_id(request: &AdmittedRequest, res: &Response<Incoming>) -> bool {
    let mut ids = res.headers().get_all(header(request.header_names.request_id)).iter();
    let is_own = ids.next().is_some_and(|id| id.as_bytes() == request.caller_id.as_bytes());
    is_own && ids.next().is_none()
}

/// Returns what a runner says about itself in a response.
fn runner_notice(
    request: &AdmittedRequest,
    runner: &RunnerEntry,
    res: &Response<Incoming>,
) -> Option<RunnerNotice> {
    let key = || runner.key.clone();
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(RunnerNotice::Ended(key()));
    }
    let leaving = res.headers().get(header(request.header_names.leaving));
    if leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1") {
        return Some(RunnerNotice::Leaving(key()));
    }
    let rest = res.headers().get(RETRY_AFTER)?.to_str().ok().and_then(parse_rest);
    rest.filter(|_| res.status() == StatusCode::SERVICE_UNAVAILABLE)
        .map(|rest| RunnerNotice::Rest(key(), rest))
}

/// Returns what a response says of the runner's rate limit, the lowest if it names
/// several; none if it names one that can't be read.
fn limit_report(
    request: &AdmittedRequest,
    runner: &RunnerEntry,
    res: &Response<Incoming>,
    sent_at: Instant,
) -> Option<LimitReport> {
    // Another runner responded.
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    let values = res.headers().get_all(header(request.header_names.limit)).iter();
    let values: Vec<_> = values.flat_map(|value| value.as_bytes().split(|b| *b == b',')).collect();
    let limits = values
        .iter()
        .filter_map(|value| std::str::from_utf8(value).ok().and_then(request.read_limit));
    let per_s = limits.min_by(f64::total_cmp);
    if per_s.is_none() && !values.is_empty() {
        log_event!(
            Event::RunnerLimitUnreadable,
            id = request.caller_id.as_str(),
            runner:% = runner.key.name
        );
        return None;
    }
    Some(LimitReport { key: runner.key.clone(), per_s, sent_ago: sent_at.elapsed() })
}

/// Returns what a runner says of its load, if work takes longer or shorter there than usual.
fn unusual_load(
    request: &AdmittedRequest,
    runner: &RunnerEntry,
    res: &Response<Incoming>,
) -> Option<(RunnerName, RunnerLoad)> {
    let value = res.headers().get(header(request.header_names.load))?.to_str().ok()?;
    let load = (request.read_load)(value).filter(|load| load.is_unusual())?;
    (res.status() != StatusCode::MISDIRECTED_REQUEST).then(|| (runner.key.name.clone(), load))
}

/// Parses the seconds, with an optional fraction, for which a runner wants no
/// requests. Anything else, such as a date, asks for no rest.
fn parse_rest(value: &str) -> Option<Duration> {
    let seconds = value.trim().parse::<f64>().ok().filter(|seconds| *seconds > 0.0)?;
    Some(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
}

/// Returns the keep-alive timeout that the runner sent, if any.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
