//! Reads the response to one dispatched request.

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_web::http::header;
use awc::ClientResponse;
use bytes::{Buf, Bytes, BytesMut};
use comfreyway_core::{
    ids::{Epoch, RequestId, RunnerName},
    outcome::UnknownReason,
};
use futures_util::{Stream, future::LocalBoxFuture};
use tokio::sync::watch;

use crate::{
    events::{Event, log_event},
    results::RecordedHead,
    upstream::{
        CompletionCheck, OutboundRequest, ResponseHead, ResponseUsage, UpstreamClient,
        UpstreamResponse,
    },
};

use super::{
    Phase,
    idle::IdleTimer,
    request_handle::RequestHandle,
    resume::{MAX_RESUMES, ResumePoint, resume},
};

/// Largest response body that is buffered to read its token counts, in bytes.
/// Streams are not limited.
const MAX_USAGE_BYTES: usize = 256 << 10;

/// The runner that a request was granted to.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) runner: RunnerName,
    pub(super) address: SocketAddr,
    pub(super) epoch: Epoch,
}

/// A dispatched request with its runner and the capabilities of its upstream.
pub(super) struct Destination {
    pub(super) client: UpstreamClient,
    pub(super) outbound: OutboundRequest,
    pub(super) grant: Grant,
    pub(super) is_engine: bool,
    pub(super) checks_fencing: bool,
    pub(super) resumes: bool,
    pub(super) cancellable: bool,
}

/// One step of reading a response.
#[derive(Debug)]
pub(super) enum Step {
    /// The next chunk of the body.
    Data(Bytes),
    /// The response is complete.
    Complete,
    /// The rest of the response is not available.
    Broken(UnknownReason),
}

enum State {
    Reading(Box<ClientResponse>),
    Resuming(LocalBoxFuture<'static, Option<UpstreamResponse>>),
    Ended,
}

/// Reads the response to one dispatched request, verifies that it is complete,
/// resumes it if its connection breaks, and records it.
pub(super) struct Exchange {
    pub(super) head: ResponseHead,
    handle: RequestHandle,
    destination: Destination,
    completion: CompletionCheck,
    state: State,
    received: u64,
    skip_bytes: u64,
    resumes: u32,
    usage_body: Option<BytesMut>,
    recording: bool,
    idle: IdleTimer,
    abort: Option<LocalBoxFuture<'static, ()>>,
}

impl Exchange {
    /// Creates an exchange whose response head has arrived.
    pub(super) fn new(
        handle: RequestHandle,
        destination: Destination,
        response: UpstreamResponse,
    ) -> Self {
        let UpstreamResponse { head, response } = response;
        let completion =
            CompletionCheck::new(destination.is_engine, head.framing, response.headers());
        let counts_in_body =
            destination.is_engine && !matches!(completion, CompletionCheck::EndMarker(_));
        if let Some(recording) = handle.recording() {
            let (status, headers) = (head.status, head.headers.clone());
            recording.set_head(RecordedHead { status, headers });
        }
        let idle = IdleTimer::new(handle.traffic().limits.upstream_idle_timeout);
        Self {
            head,
            recording: handle.recording().is_some(),
            handle,
            destination,
            completion,
            state: State::Reading(Box::new(response)),
            received: 0,
            skip_bytes: 0,
            resumes: 0,
            usage_body: counts_in_body.then(BytesMut::new),
            idle,
            abort: None,
        }
    }

    /// Returns the id of the request.
    pub(super) fn id(&self) -> RequestId {
        self.handle.id()
    }

    /// Returns the `Content-Length` of the response, also if it has no body.
    pub(super) fn declared_length(&self) -> Option<u64> {
        let mut headers = self.head.headers.iter();
        let (_, value) = headers.find(|(name, _)| *name == header::CONTENT_LENGTH)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Returns true for an engine's event stream.
    pub(super) fn is_event_stream(&self) -> bool {
        matches!(self.completion, CompletionCheck::EndMarker(_))
    }

    /// Returns true if the response is JSON of undeclared length.
    pub(super) fn is_json_without_length(&self) -> bool {
        matches!(self.completion, CompletionCheck::Json(..))
    }

    /// Polls for the next step of the response.
    pub(super) fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            match &mut self.state {
                State::Reading(response) => match Pin::new(response.as_mut()).poll_next(cx) {
                    Poll::Ready(Some(Ok(chunk))) => {
                        if let Some(chunk) = self.accept_chunk(chunk) {
                            return Poll::Ready(Step::Data(chunk));
                        }
                    }
                    Poll::Ready(end @ (None | Some(Err(_)))) => {
                        if end.is_none() {
                            self.completion.stream_ended();
                        }
                        if let Some(step) = self.body_ended() {
                            return Poll::Ready(step);
                        }
                    }
                    Poll::Pending => {
                        let reason = ready!(self.poll_timeout_or_abort(cx));
                        return Poll::Ready(self.broken(reason));
                    }
                },
                State::Resuming(response) => match ready!(response.as_mut().poll(cx)) {
                    Some(response) => self.resumed(response),
                    None => return Poll::Ready(self.broken(UnknownReason::UpstreamBroke)),
                },
                State::Ended => return Poll::Ready(Step::Broken(UnknownReason::UpstreamBroke)),
            }
        }
    }

    /// Waits for the next step of the response.
    pub(super) async fn step(&mut self) -> Step {
        poll_fn(|cx| self.poll_step(cx)).await
    }

    /// Ends the exchange after its caller has disconnected: cancels the request
    /// if its class allows that, otherwise reads the response to its end.
    pub(super) async fn end_without_caller(mut self) {
        if matches!(self.state, State::Ended) {
            return;
        }
        if self.destination.cancellable && self.destination.is_engine {
            self.state = State::Ended;
            self.handle.cancelled();
            self.destination
                .client
                .cancel(self.destination.outbound.id, self.destination.grant.address)
                .await;
            return;
        }
        while let Step::Data(_) = self.step().await {}
    }

    /// Processes a chunk of the body. Returns `None` if all of it was received
    /// before the resume.
    fn accept_chunk(&mut self, mut chunk: Bytes) -> Option<Bytes> {
        self.idle.touch();
        let known = self.skip_bytes.min(chunk.len() as u64);
        self.skip_bytes -= known;
        chunk.advance(usize::try_from(known).unwrap_or(chunk.len()));
        if chunk.is_empty() {
            return None;
        }
        self.handle.bytes_received();
        self.received += chunk.len() as u64;
        self.completion.feed(&chunk);
        if matches!(&self.completion, CompletionCheck::EndMarker(scan) if scan.events() > 0) {
            self.handle.event_received();
        }
        self.buffer_for_usage(&chunk);
        self.record(&chunk);
        Some(chunk)
    }

    fn buffer_for_usage(&mut self, chunk: &Bytes) {
        let Some(text) = &mut self.usage_body else { return };
        if text.len() + chunk.len() > MAX_USAGE_BYTES {
            self.usage_body = None;
        } else {
            text.extend_from_slice(chunk);
        }
    }

    fn record(&mut self, chunk: &Bytes) {
        let Some(recording) = self.handle.recording().filter(|_| self.recording) else { return };
        if !self.handle.traffic().results.push(recording, chunk) {
            self.recording = false;
            log_event!(Event::ResultNotStored, id:% = self.handle.id());
        }
    }

    /// Handles the end of the connection's data. Returns `None` if the response
    /// is being resumed.
    fn body_ended(&mut self) -> Option<Step> {
        if self.completion.is_complete() {
            self.state = State::Ended;
            let (usage, events) = self.usage();
            self.handle.answered(self.head.status, usage, events);
            return Some(Step::Complete);
        }
        let point =
            ResumePoint::new(&self.completion, self.received).filter(|_| self.destination.resumes);
        let Some(point) = point.filter(|_| self.resumes < MAX_RESUMES) else {
            return Some(self.broken(UnknownReason::UpstreamBroke));
        };
        self.resumes += 1;
        self.skip_bytes = point.skip_bytes;
        let Destination { client, outbound, grant, .. } = &self.destination;
        let response = resume(client.clone(), outbound.clone(), grant.clone(), point.last_event_id);
        self.state = State::Resuming(Box::pin(response));
        None
    }

    fn resumed(&mut self, response: UpstreamResponse) {
        log_event!(
            Event::StreamResumed,
            id:% = self.handle.id(),
            runner:% = self.destination.grant.runner,
            received = self.received
        );
        self.idle.touch();
        self.state = State::Reading(Box::new(response.response));
    }

    fn broken(&mut self, reason: UnknownReason) -> Step {
        self.state = State::Ended;
        self.handle.unknown(reason);
        Step::Broken(reason)
    }

    /// Ready if the upstream timed out or the process aborts its requests.
    fn poll_timeout_or_abort(&mut self, cx: &mut Context<'_>) -> Poll<UnknownReason> {
        let traffic = self.handle.traffic();
        let abort =
            self.abort.get_or_insert_with(|| Box::pin(wait_for_abort(traffic.subscribe_phase())));
        if abort.as_mut().poll(cx).is_ready() {
            return Poll::Ready(UnknownReason::StopLimit);
        }
        self.idle.poll_expired(cx).map(|()| UnknownReason::UpstreamTimeout)
    }

    fn usage(&self) -> (ResponseUsage, u32) {
        let (text, events) = match &self.completion {
            CompletionCheck::EndMarker(scan) => (scan.usage(), scan.events()),
            _ => (self.usage_body.as_deref(), 0),
        };
        (text.and_then(ResponseUsage::parse).unwrap_or_default(), events)
    }
}

async fn wait_for_abort(mut phases: watch::Receiver<Phase>) {
    if phases.wait_for(|phase| *phase == Phase::Aborting).await.is_err() {
        // The sender was dropped, so the phase can't change any more.
        std::future::pending::<()>().await;
    }
}
