//! Forwards a stream event by event.

use std::rc::Rc;

use bytes::Bytes;
use comfreyway_core::{
    fleet::{RunnerVersion, StreamBinding},
    outcome::UnknownReason,
    request::{DispatchEnd, Usage},
};
use futures_util::stream;
use hyper::{HeaderMap, Response, body::Frame, header::CONTENT_LENGTH};
use tokio::time::{Instant, timeout_at};

use crate::{
    events::{Event, Optional, log_event},
    fleet::{
        request_handle::RequestHandle,
        response_memory::{HeldBytes, MAX_EVENT_BYTES},
    },
};

use super::{
    admitted::{AdmittedRequest, end_to_end},
    attempt::RunnerResponse,
    event_buffer::EventBuffer,
    exchange::{DispatchResult, StreamEvents, dispatch, may_retry, record_answered},
    framing::Framing,
    handler::{Proxy, ProxyState},
    response::{RelayError, ResponseBody, streamed},
};

/// A stream that is being forwarded to the caller.
struct StreamRelay {
    proxy: Rc<ProxyState>,
    request: AdmittedRequest,
    handle: RequestHandle,
    /// `None` once the stream has ended.
    response: Option<Box<RunnerResponse>>,
    events: EventBuffer,
    /// Memory of the event that is held back.
    held: HeldBytes,
    /// Number of runners that the request was sent to.
    sent: u32,
    first_event: Option<Instant>,
    /// Version of the runner.
    version: Option<RunnerVersion>,
    /// Complete events before the current runner's.
    earlier_events: u32,
}

/// Reason for the end of a stream that is not complete.
enum StreamBreak {
    /// The time limit was reached.
    TimeLimit,
    /// The runner's response is broken.
    Runner(String),
}

/// Result of one step of the relay.
enum Step {
    Forward(Bytes),
    End(Bytes),
    Fail(RelayError),
}

/// Returns the response whose body forwards a runner's stream.
pub(super) fn relay(
    proxy: &Proxy,
    request: AdmittedRequest,
    handle: RequestHandle,
    response: Box<RunnerResponse>,
    sent: u32,
) -> Response<ResponseBody> {
    let status = response.status;
    let headers = response_headers(&response.headers);
    let version = response.version.clone();
    let held = HeldBytes::new(request.caller.clone(), MAX_EVENT_BYTES);
    let relay = StreamRelay {
        proxy: proxy.shared.clone(),
        request,
        handle,
        response: Some(response),
        events: EventBuffer::default(),
        held,
        sent,
        first_event: None,
        version,
        earlier_events: 0,
    };
    let steps = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.step().await {
            Step::Forward(data) => Some((Ok(Frame::data(data)), Some(relay))),
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

/// Returns the headers of the response. A length that the runner gave is kept,
/// so that a truncated response can't look complete.
fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    if let Some(length) = headers.get(CONTENT_LENGTH) {
        kept.insert(CONTENT_LENGTH, length.clone());
    }
    kept
}

/// Returns true if a stream that ended without an error may be complete. The end
/// of the connection proves that only as far as the events show it.
fn is_complete(framing: Framing, events: &EventBuffer, first_event: Option<Instant>) -> bool {
    let is_started = framing != Framing::Connection || first_event.is_some();
    is_started && !events.is_inside_event()
}

impl StreamRelay {
    async fn step(&mut self) -> Step {
        loop {
            match self.next_data().await {
                Ok(None) => return Step::End(self.end()),
                Ok(Some(data)) => {
                    let complete = self.events.push(&data);
                    if complete.is_empty() {
                        continue;
                    }
                    if self.first_event.is_none() {
                        self.first_event = Some(Instant::now());
                        self.handle.first_token();
                    }
                    return Step::Forward(complete);
                }
                Err(StreamBreak::TimeLimit) => {
                    self.handle.ended(DispatchEnd::Cancelled);
                    self.record_cut("time-limit");
                    return Step::Fail(RelayError::TimeLimit);
                }
                Err(StreamBreak::Runner(cause)) => {
                    self.log_break(&cause);
                    if let Err(e) = self.resume().await {
                        self.record_cut("runner-broke");
                        return Step::Fail(e);
                    }
                }
            }
        }
    }

    /// Reads the next bytes; returns `None` at the end of a complete stream.
    async fn next_data(&mut self) -> Result<Option<Bytes>, StreamBreak> {
        let Some(response) = &mut self.response else {
            return Err(StreamBreak::Runner("no response".to_owned()));
        };
        let by_runner = |cause: &dyn std::fmt::Display| StreamBreak::Runner(cause.to_string());
        self.held.set(self.events.held_bytes()).map_err(|e| by_runner(&e))?;
        let frame = timeout_at(self.request.deadline, response.frame()).await;
        match frame.map_err(|_| StreamBreak::TimeLimit)? {
            None if is_complete(response.framing, &self.events, self.first_event) => Ok(None),
            None => Err(by_runner(&"the stream ended inside an event, or without one")),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(e)) => Err(by_runner(&e)),
        }
    }

    fn log_break(&self, cause: &str) {
        let Some(response) = &self.response else { return };
        log_event!(
            Event::RunnerResponseUnusable,
            id = self.request.caller_id.as_str(),
            runner:% = response.runner.name,
            cause = cause,
            after:% = Optional(self.events.last_id()),
            after_ms = response.sent_at.elapsed().as_millis() as u64
        );
    }

    /// Handles the end of the runner's response.
    fn end(&mut self) -> Bytes {
        let rest = self.events.take_remaining();
        if let Some(response) = self.response.take() {
            let total = response.sent_at.elapsed();
            let first = self.first_event.map_or(total, |at| at - response.sent_at);
            let events = self.events.events() - self.earlier_events;
            self.handle.ended(DispatchEnd::Complete(Usage {
                prefill_tokens: self.request.placement.record.prefill_tokens,
                cached_tokens: 0,
                decode_tokens: events * self.request.tokens_per_event(),
                first_token: first,
                total,
                until_close: response.framing == Framing::Connection,
                failed: false,
            }));
            let events = StreamEvents { first: self.first_event, count: self.events.events() };
            record_answered(&self.proxy, &self.request, &response, self.sent, events);
            response.keep_connection(&self.proxy.connections);
        }
        rest
    }

    fn record_cut(&self, reason: &'static str) {
        self.proxy.metrics.stream_cut(reason);
        log_event!(
            Event::StreamCut,
            id = self.request.caller_id.as_str(),
            reason = reason,
            after:% = Optional(self.events.last_id()),
            total_ms = self.request.arrived.elapsed().as_millis() as u64
        );
    }

    /// Returns how the rest of the stream is bound to the version that began it, if it
    /// may resume.
    fn binding_of_rest(&self) -> Option<StreamBinding> {
        let stream = self.request.placement.stream.clone()?;
        if self.events.events() == 0 {
            return Some(stream);
        }
        let version = self.version.clone().filter(|_| self.events.can_resume())?;
        let rest = StreamBinding::continues(stream.id, Some(version));
        Some(rest.with_retention(stream.retention))
    }

    /// Resumes a broken stream at another runner, if that is allowed.
    async fn resume(&mut self) -> Result<(), RelayError> {
        self.response = None;
        self.handle.ended(DispatchEnd::Failed);
        let stream = self.binding_of_rest();
        loop {
            if stream.is_none() || !may_retry(&self.proxy, &self.request, self.sent) {
                return Err(RelayError::Broken);
            }
            let avoid = self.handle.runner().cloned();
            self.handle = self.proxy.submit_bound(&self.request, self.sent, avoid, stream.clone());
            let after = self.events.last_id();
            match dispatch(&self.proxy, &self.request, &mut self.handle, after).await {
                DispatchResult::Response(response)
                    if response.status.is_success() && response.is_event_stream() =>
                {
                    log_event!(
                        Event::RequestRetried,
                        id = self.request.caller_id.as_str(),
                        sent = self.sent + 1,
                        reason = UnknownReason::UpstreamBroke.as_str(),
                        after:% = Optional(after)
                    );
                    self.sent += 1;
                    self.events.restart();
                    self.earlier_events = self.events.events();
                    self.first_event = None;
                    self.version.clone_from(&response.version);
                    self.response = Some(response);
                    return Ok(());
                }
                DispatchResult::NotRun(..) => {
                    self.handle.withdraw();
                    return Err(RelayError::Broken);
                }
                DispatchResult::Unknown(UnknownReason::UpstreamTimeout) => {
                    return Err(RelayError::TimeLimit);
                }
                DispatchResult::Response(_) | DispatchResult::Unknown(_) => {
                    self.sent += 1;
                    self.handle.ended(DispatchEnd::Failed);
                }
            }
        }
    }
}
