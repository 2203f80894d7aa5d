//! Passes a stream on, event by event.

use std::rc::Rc;

use bytes::Bytes;
use comfreyway_core::{
    fleet::RetryPolicy,
    outcome::UnknownReason,
    request::{DispatchEnd, Usage},
};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, body::Frame, header::CONTENT_LENGTH};
use tokio::time::{Instant, timeout_at};

use crate::{
    events::{Event, log_event},
    fleet::ticket::Ticket,
};

use super::{
    answer::{AnswerBody, RelayError, streamed},
    attempt::Answering,
    call::{Call, end_to_end},
    event_buffer::EventBuffer,
    exchange::{Reached, may_repeat, note_answered, reach},
    handler::{Front, FrontShared},
};

/// A stream on its way to the caller.
struct Relay {
    front: Rc<FrontShared>,
    call: Call,
    ticket: Ticket,
    /// None once the stream has ended.
    answering: Option<Box<Answering>>,
    events: EventBuffer,
    /// Runners that the request was sent to.
    sent: u32,
    first_event: Option<Instant>,
    /// Whole events before the present run.
    earlier_events: u32,
}

/// What one step of the relay came to.
enum Step {
    Pass(Bytes),
    End(Bytes),
    Fail(RelayError),
}

/// The answer whose body passes on the stream of a runner.
pub(super) fn relay(
    front: &Front,
    call: Call,
    ticket: Ticket,
    answering: Box<Answering>,
    sent: u32,
) -> Response<AnswerBody> {
    let status = answering.status;
    let headers = head_of(&answering.headers);
    let relay = Relay {
        front: front.shared.clone(),
        call,
        ticket,
        answering: Some(answering),
        events: EventBuffer::default(),
        sent,
        first_event: None,
        earlier_events: 0,
    };
    let steps = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.step().await {
            Step::Pass(data) => Some((Ok(Frame::data(data)), Some(relay))),
            Step::End(rest) if rest.is_empty() => None,
            Step::End(rest) => Some((Ok(Frame::data(rest)), None)),
            Step::Fail(e) => Some((Err(e), None)),
        }
    });
    let mut res = Response::new(streamed(steps));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Headers of the answer. A length that the runner gave is kept, so that a
/// short answer can't look whole.
fn head_of(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    if let Some(length) = headers.get(CONTENT_LENGTH) {
        kept.insert(CONTENT_LENGTH, length.clone());
    }
    kept
}

impl Relay {
    async fn step(&mut self) -> Step {
        loop {
            let Some(answering) = &mut self.answering else {
                return Step::Fail(RelayError::Broken);
            };
            let frame = match timeout_at(self.call.until, answering.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.ticket.ended(DispatchEnd::Cancelled);
                    self.note_cut("time-limit");
                    return Step::Fail(RelayError::TimeLimit);
                }
            };
            match frame {
                None => return Step::End(self.end()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let passed = self.events.push(&data);
                    if passed.is_empty() {
                        continue;
                    }
                    if self.first_event.is_none() {
                        self.first_event = Some(Instant::now());
                        self.ticket.first_token();
                    }
                    return Step::Pass(passed);
                }
                Some(Err(e)) => {
                    log_event!(
                        Event::RunnerResponseUnusable,
                        id = self.call.caller_id.as_str(),
                        runner:% = answering.runner.name,
                        cause:% = e,
                        after:? = self.events.last_id(),
                        after_ms = answering.sent.elapsed().as_millis() as u64
                    );
                    if let Err(e) = self.go_on().await {
                        self.note_cut("runner-broke");
                        return Step::Fail(e);
                    }
                }
            }
        }
    }

    /// The runner's answer is whole.
    fn end(&mut self) -> Bytes {
        let rest = self.events.rest();
        if let Some(answering) = self.answering.take() {
            let total = answering.sent.elapsed();
            let first = self.first_event.map_or(total, |at| at - answering.sent);
            let events = self.events.events() - self.earlier_events;
            self.ticket.ended(DispatchEnd::Complete(Usage {
                prefill_tokens: self.call.question.record.prefill_tokens,
                cached_tokens: 0,
                decode_tokens: events * self.call.tokens_per_event(),
                first_token: first,
                total,
            }));
            note_answered(&self.front, &self.call, &answering, self.sent, self.first_event);
            answering.keep_connection(&self.front.links);
        }
        rest
    }

    fn note_cut(&self, reason: &'static str) {
        self.front.metrics.stream_cut(reason);
        log_event!(
            Event::StreamCut,
            id = self.call.caller_id.as_str(),
            reason = reason,
            after:? = self.events.last_id(),
            total_ms = self.call.arrived.elapsed().as_millis() as u64
        );
    }

    /// Continues a broken stream at another runner, if that is allowed.
    async fn go_on(&mut self) -> Result<(), RelayError> {
        self.answering = None;
        self.ticket.ended(DispatchEnd::Failed);
        loop {
            let resumable = self.call.route.retry == RetryPolicy::Resumable;
            if !resumable || !may_repeat(&self.call, self.sent) {
                return Err(RelayError::Broken);
            }
            let avoid = self.ticket.runner().cloned();
            self.ticket = self.front.submit(&self.call, self.sent, avoid);
            let after = self.events.last_id();
            match reach(&self.front, &self.call, &mut self.ticket, after).await {
                Reached::Answers(answering) if answering.status.is_success() => {
                    log_event!(
                        Event::RequestRetried,
                        id = self.call.caller_id.as_str(),
                        sent = self.sent + 1,
                        reason = UnknownReason::UpstreamBroke.as_str(),
                        after:? = after
                    );
                    self.sent += 1;
                    self.events.restart();
                    self.earlier_events = self.events.events();
                    self.first_event = None;
                    self.answering = Some(answering);
                    return Ok(());
                }
                Reached::NotRun(..) => {
                    self.ticket.give_up();
                    return Err(RelayError::Broken);
                }
                Reached::Unknown(UnknownReason::UpstreamTimeout) => {
                    return Err(RelayError::TimeLimit);
                }
                Reached::Answers(_) | Reached::Unknown(_) => {
                    self.sent += 1;
                    self.ticket.ended(DispatchEnd::Failed);
                }
            }
        }
    }
}
