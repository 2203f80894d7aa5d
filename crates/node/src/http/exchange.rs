//! Reads the answer to one dispatched request.

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
    upstream::{AnswerHead, AnswerUsage, EndProof, Outbound, UpstreamAnswer, UpstreamClient},
};

use super::{
    Phase,
    idle::IdleTimer,
    resume::{MAX_RESUMES, ResumePoint, resume},
    ticket::Ticket,
};

/// Longest answer whose token counts are read, in bytes. Streams have no limit.
const MAX_USAGE_BYTES: usize = 256 << 10;

/// The runner that a request was granted to.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub(super) runner: RunnerName,
    pub(super) address: SocketAddr,
    pub(super) epoch: Epoch,
}

/// Where a request was sent.
pub(super) struct Destination {
    pub(super) client: UpstreamClient,
    pub(super) outbound: Outbound,
    pub(super) granted: Granted,
    pub(super) from_engine: bool,
    pub(super) checks_fencing: bool,
    pub(super) resumes: bool,
    pub(super) cancellable: bool,
}

/// One step of an answer.
#[derive(Debug)]
pub(super) enum Step {
    /// The next piece of the body.
    Data(Bytes),
    /// The answer is whole.
    Whole,
    /// The answer can't be had whole.
    Broken(UnknownReason),
}

enum State {
    Reading(Box<ClientResponse>),
    Resuming(LocalBoxFuture<'static, Option<UpstreamAnswer>>),
    Ended,
}

/// Reads the answer to one dispatched request, proves its end, resumes it if
/// its connection breaks, and records it.
pub(super) struct Exchange {
    pub(super) head: AnswerHead,
    ticket: Ticket,
    to: Destination,
    proof: EndProof,
    state: State,
    received: u64,
    skip: u64,
    resumes: u32,
    usage_text: Option<BytesMut>,
    recording: bool,
    idle: IdleTimer,
    cut: Option<LocalBoxFuture<'static, ()>>,
}

impl Exchange {
    /// An exchange whose answer has begun.
    pub(super) fn new(ticket: Ticket, to: Destination, answer: UpstreamAnswer) -> Self {
        let UpstreamAnswer { head, response } = answer;
        let proof = EndProof::new(to.from_engine, head.framing, response.headers());
        let counts_in_body = to.from_engine && !matches!(proof, EndProof::EndMark(_));
        if let Some(recording) = ticket.recording() {
            let (status, headers) = (head.status, head.headers.clone());
            recording.set_head(RecordedHead { status, headers });
        }
        let idle = IdleTimer::new(ticket.traffic().limits.upstream_idle_timeout);
        Self {
            head,
            recording: ticket.recording().is_some(),
            ticket,
            to,
            proof,
            state: State::Reading(Box::new(response)),
            received: 0,
            skip: 0,
            resumes: 0,
            usage_text: counts_in_body.then(BytesMut::new),
            idle,
            cut: None,
        }
    }

    /// Identity of the request.
    pub(super) fn id(&self) -> RequestId {
        self.ticket.id()
    }

    /// Declared length of the body, also where the answer has none.
    pub(super) fn declared_length(&self) -> Option<u64> {
        let mut headers = self.head.headers.iter();
        let (_, value) = headers.find(|(name, _)| *name == header::CONTENT_LENGTH)?;
        value.to_str().ok()?.parse().ok()
    }

    /// True for an engine's stream of events.
    pub(super) fn is_event_stream(&self) -> bool {
        matches!(self.proof, EndProof::EndMark(_))
    }

    /// True if the answer is a JSON text of undeclared length.
    pub(super) fn is_open_json(&self) -> bool {
        matches!(self.proof, EndProof::Json(..))
    }

    /// The next step of the answer.
    pub(super) fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            match &mut self.state {
                State::Reading(response) => match Pin::new(response.as_mut()).poll_next(cx) {
                    Poll::Ready(Some(Ok(chunk))) => {
                        if let Some(chunk) = self.take(chunk) {
                            return Poll::Ready(Step::Data(chunk));
                        }
                    }
                    Poll::Ready(end @ (None | Some(Err(_)))) => {
                        if end.is_none() {
                            self.proof.end();
                        }
                        if let Some(step) = self.body_ended() {
                            return Poll::Ready(step);
                        }
                    }
                    Poll::Pending => {
                        let reason = ready!(self.poll_silence(cx));
                        return Poll::Ready(self.broken(reason));
                    }
                },
                State::Resuming(answer) => match ready!(answer.as_mut().poll(cx)) {
                    Some(answer) => self.resumed(answer),
                    None => return Poll::Ready(self.broken(UnknownReason::UpstreamBroke)),
                },
                State::Ended => return Poll::Ready(Step::Broken(UnknownReason::UpstreamBroke)),
            }
        }
    }

    /// The next step of the answer.
    pub(super) async fn step(&mut self) -> Step {
        poll_fn(|cx| self.poll_step(cx)).await
    }

    /// Ends the exchange after its caller has left: cancels it if its class
    /// allows that, else reads the answer to its end.
    pub(super) async fn end_without_caller(mut self) {
        if matches!(self.state, State::Ended) {
            return;
        }
        if self.to.cancellable && self.to.from_engine {
            self.state = State::Ended;
            self.ticket.cancelled();
            self.to.client.cancel(self.to.outbound.id, self.to.granted.address).await;
            return;
        }
        while let Step::Data(_) = self.step().await {}
    }

    /// Takes a piece of the body. None if all of it had arrived before.
    fn take(&mut self, mut chunk: Bytes) -> Option<Bytes> {
        self.idle.touch();
        let known = self.skip.min(chunk.len() as u64);
        self.skip -= known;
        chunk.advance(usize::try_from(known).unwrap_or(chunk.len()));
        if chunk.is_empty() {
            return None;
        }
        self.ticket.received();
        self.received += chunk.len() as u64;
        self.proof.feed(&chunk);
        if matches!(&self.proof, EndProof::EndMark(scan) if scan.events() > 0) {
            self.ticket.received_event();
        }
        self.keep_for_usage(&chunk);
        self.record(&chunk);
        Some(chunk)
    }

    fn keep_for_usage(&mut self, chunk: &Bytes) {
        let Some(text) = &mut self.usage_text else { return };
        if text.len() + chunk.len() > MAX_USAGE_BYTES {
            self.usage_text = None;
        } else {
            text.extend_from_slice(chunk);
        }
    }

    fn record(&mut self, chunk: &Bytes) {
        let Some(recording) = self.ticket.recording().filter(|_| self.recording) else { return };
        if !self.ticket.traffic().results.push(recording, chunk) {
            self.recording = false;
            log_event!(Event::ResultNotStored, id:% = self.ticket.id());
        }
    }

    /// The connection gives no more. None if the answer is being resumed.
    fn body_ended(&mut self) -> Option<Step> {
        if self.proof.is_whole() {
            self.state = State::Ended;
            let (usage, events) = self.usage();
            self.ticket.answered(self.head.status, usage, events);
            return Some(Step::Whole);
        }
        let point = ResumePoint::new(&self.proof, self.received).filter(|_| self.to.resumes);
        let Some(point) = point.filter(|_| self.resumes < MAX_RESUMES) else {
            return Some(self.broken(UnknownReason::UpstreamBroke));
        };
        self.resumes += 1;
        self.skip = point.skip;
        let Destination { client, outbound, granted, .. } = &self.to;
        let answer = resume(client.clone(), outbound.clone(), granted.clone(), point.after);
        self.state = State::Resuming(Box::pin(answer));
        None
    }

    fn resumed(&mut self, answer: UpstreamAnswer) {
        log_event!(
            Event::StreamResumed,
            id:% = self.ticket.id(),
            runner:% = self.to.granted.runner,
            received = self.received
        );
        self.idle.touch();
        self.state = State::Reading(Box::new(answer.response));
    }

    fn broken(&mut self, reason: UnknownReason) -> Step {
        self.state = State::Ended;
        self.ticket.unknown(reason);
        Step::Broken(reason)
    }

    /// Ready if the upstream has gone silent or the process cuts its streams.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<UnknownReason> {
        let traffic = self.ticket.traffic();
        let cut = self.cut.get_or_insert_with(|| Box::pin(wait_for_cut(traffic.phases())));
        if cut.as_mut().poll(cx).is_ready() {
            return Poll::Ready(UnknownReason::StopLimit);
        }
        self.idle.poll_expired(cx).map(|()| UnknownReason::UpstreamTimeout)
    }

    fn usage(&self) -> (AnswerUsage, u32) {
        let (text, events) = match &self.proof {
            EndProof::EndMark(scan) => (scan.usage(), scan.events()),
            _ => (self.usage_text.as_deref(), 0),
        };
        (text.and_then(AnswerUsage::parse).unwrap_or_default(), events)
    }
}

async fn wait_for_cut(mut phases: watch::Receiver<Phase>) {
    if phases.wait_for(|phase| *phase == Phase::Aborting).await.is_err() {
        // The process is gone with its phase; nothing is left to wait for.
        std::future::pending::<()>().await;
    }
}
