//! One sending of a request to one runner.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use comfreyway_core::{
    fleet::{RunnerEntry, RunnerKey},
    outcome::{RetryReason, UnknownReason},
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderName},
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::events::{Event, log_event};
use crate::fleet::{
    links::{LinkFailure, Links, Sender},
    platform_format::header,
};

use super::call::Call;

/// Time to read the short body of an answer that refuses.
const REFUSAL_BODY_TIME: Duration = Duration::from_millis(100);

/// Largest answer in one piece that is held until it is whole.
const MAX_WHOLE_BYTES: usize = 16 << 20;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How a sending ended up to the answer's head.
pub(super) enum Attempt {
    /// The runner answers with this head.
    Answers(Box<Answering>),
    /// The runner certainly did not run the request.
    NotRun(RetryReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// An answer whose body is being read.
pub(super) struct Answering {
    pub(super) runner: RunnerKey,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) sent: Instant,
    sender: Sender,
    keep: Option<Duration>,
    /// Unused connections that may be kept to the runner.
    most_unused: usize,
}

/// Sends a request and checks that the answer belongs to it.
pub(super) async fn attempt(
    links: &Links,
    call: &Call,
    runner: &RunnerEntry,
    after: Option<u64>,
) -> (Attempt, bool) {
    let sent = Instant::now();
    let req = call.request_to(runner, after);
    log_event!(
        Event::RequestDispatched,
        id = call.caller_id.as_str(),
        runner:% = runner.key.name,
        address:% = runner.address,
        workspace:% = call.question.record.workspace,
        cost = call.question.cost,
        waited_ms = call.arrived.elapsed().as_millis() as u64,
        left_ms = call.until.saturating_duration_since(sent).as_millis() as u64,
        after:? = after
    );
    let sending = links.send(&runner.key, runner.address, req);
    let (res, sender) = match timeout_at(call.until, sending).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(LinkFailure::NotSent(reason))) => return (Attempt::NotRun(reason), false),
        Ok(Err(LinkFailure::Unknown(cause))) => {
            note_broken(call, runner, &cause, sent);
            return (Attempt::Unknown(UnknownReason::UpstreamBroke), false);
        }
        Err(_) => return (Attempt::Unknown(UnknownReason::UpstreamTimeout), false),
    };
    if !echoes(call, &res) {
        note_broken(call, runner, "the answer belongs to another request", sent);
        return (Attempt::Unknown(UnknownReason::UpstreamBroke), false);
    }
    let (head, body) = res.into_parts();
    let keep = keep_time(&head.headers);
    let (status, headers) = (head.status, head.headers);
    let upstream = call.plan.upstreams.get(&runner.upstream);
    let most_unused =
        upstream.map_or(0, |plan| plan.max_idle_connections(runner.slots, call.known_hosts));
    let key = runner.key.clone();
    let answering =
        Answering { runner: key, status, headers, body, sent, sender, keep, most_unused };
    let other_runner = status == StatusCode::MISDIRECTED_REQUEST;
    if other_runner || answering.headers.contains_key(call.names.not_executed) {
        answering.discard(&call.caller_id, links).await;
        let reason = match other_runner {
            true => RetryReason::RunnerLeaving,
            false => RetryReason::TurnedAway,
        };
        return (Attempt::NotRun(reason), other_runner);
    }
    if status.is_success() && !answering.is_signed(call) {
        note_broken(call, runner, "the answer is not the runner's own", sent);
        return (Attempt::Unknown(UnknownReason::UpstreamBroke), false);
    }
    (Attempt::Answers(Box::new(answering)), false)
}

impl Answering {
    fn is_signed(&self, call: &Call) -> bool {
        self.headers.contains_key(call.names.signature)
            && !self.headers.contains_key(CONTENT_ENCODING)
    }

    /// Reads the body to its end.
    pub(super) async fn read_whole(
        &mut self,
        id: &str,
        until: Instant,
    ) -> Result<Bytes, UnknownReason> {
        let mut whole = BytesMut::new();
        loop {
            match timeout_at(until, self.body.frame()).await {
                Err(_) => return Err(UnknownReason::UpstreamTimeout),
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        whole.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(e))) => {
                    log_event!(
                        Event::RunnerResponseUnusable,
                        id = id,
                        runner:% = self.runner.name,
                        cause:% = e,
                        after_ms = self.sent.elapsed().as_millis() as u64
                    );
                    return Err(UnknownReason::UpstreamBroke);
                }
            }
            if whole.len() > MAX_WHOLE_BYTES {
                return Err(UnknownReason::UpstreamBroke);
            }
        }
    }

    /// Keeps the connection after the body's end.
    pub(super) fn keep_connection(self, links: &Links) {
        links.keep(&self.runner, self.sender, self.keep, self.most_unused);
    }

    async fn discard(mut self, id: &str, links: &Links) {
        let until = Instant::now() + REFUSAL_BODY_TIME;
        if timeout(REFUSAL_BODY_TIME, self.read_whole(id, until)).await.is_ok_and(|r| r.is_ok()) {
            self.keep_connection(links);
        }
    }
}

fn note_broken(call: &Call, runner: &RunnerEntry, cause: &str, sent: Instant) {
    log_event!(
        Event::RunnerResponseUnusable,
        id = call.caller_id.as_str(),
        runner:% = runner.key.name,
        cause = cause,
        after_ms = sent.elapsed().as_millis() as u64
    );
}

fn echoes(call: &Call, res: &Response<Incoming>) -> bool {
    let echoed = res.headers().get(header(call.names.request_id));
    echoed.is_some_and(|id| id.as_bytes() == call.caller_id.as_bytes())
}

/// The time for which the runner keeps an unused connection, if it tells.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
