//! Streams a response to its caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_web::{
    body::{BodySize, MessageBody},
    web::Data,
};
use bytes::Bytes;
use comfreyway_core::{
    ids::RequestId,
    outcome::{Outcome, UnknownReason},
};
use comfreyway_proto::headers;
use quick_error::quick_error;

use super::{
    exchange::{Exchange, Step},
    worker::Worker,
};

quick_error! {
    /// Aborts the caller's connection, so that a truncated response never looks
    /// complete.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    #[allow(unreachable_pub, reason = "the macro knows no narrower visibility")]
    pub enum BodyError {
        /// The rest of the response is not available.
        Incomplete(reason: UnknownReason) {
            display("the response is incomplete: {reason}")
        }
    }
}

/// An exchange whose caller is connected. If the caller disconnects, the worker
/// takes the exchange over.
pub(super) struct CallerExchange {
    exchange: Option<Box<Exchange>>,
    worker: Data<Worker>,
}

impl CallerExchange {
    pub(super) fn new(exchange: Box<Exchange>, worker: Data<Worker>) -> Self {
        Self { exchange: Some(exchange), worker }
    }

    pub(super) fn exchange(&self) -> Option<&Exchange> {
        self.exchange.as_deref()
    }

    pub(super) fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        let Some(exchange) = &mut self.exchange else {
            return Poll::Ready(Step::Broken(UnknownReason::UpstreamBroke));
        };
        let step = ready!(exchange.poll_step(cx));
        if !matches!(step, Step::Data(_)) {
            self.exchange = None;
        }
        Poll::Ready(step)
    }
}

impl Drop for CallerExchange {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            self.worker.abandon(exchange);
        }
    }
}

/// State of the body stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    Streaming,
    /// Written data is flushed before the connection is aborted.
    Flushing(UnknownReason),
    Aborting(UnknownReason),
}

/// The body of a response that is still arriving.
pub(super) struct ResponseBody {
    id: RequestId,
    size: BodySize,
    first: Option<Bytes>,
    source: CallerExchange,
    is_event_stream: bool,
    state: BodyState,
}

impl ResponseBody {
    /// Creates a body that consists of `first` and the rest of `source`.
    pub(super) fn new(
        id: RequestId,
        size: BodySize,
        first: Option<Bytes>,
        source: CallerExchange,
    ) -> Self {
        let is_event_stream = source.exchange().is_some_and(Exchange::is_event_stream);
        Self { id, size, first, source, is_event_stream, state: BodyState::Streaming }
    }

    fn begin_abort(&mut self, cx: &mut Context<'_>, reason: UnknownReason) -> Poll<Option<Bytes>> {
        self.state = BodyState::Flushing(reason);
        if self.is_event_stream {
            return Poll::Ready(Some(outcome_event(self.id, reason)));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl MessageBody for ResponseBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        match self.state {
            BodyState::Streaming => match ready!(self.source.poll_step(cx)) {
                Step::Data(chunk) => Poll::Ready(Some(Ok(chunk))),
                Step::Complete => Poll::Ready(None),
                Step::Broken(reason) => self.begin_abort(cx, reason).map(|chunk| chunk.map(Ok)),
            },
            BodyState::Flushing(reason) => {
                self.state = BodyState::Aborting(reason);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            BodyState::Aborting(reason) => Poll::Ready(Some(Err(BodyError::Incomplete(reason)))),
        }
    }
}

/// Returns the last event of a broken stream, which replaces the end marker.
/// The leading line feeds terminate an event that was cut off.
pub(super) fn outcome_event(id: RequestId, reason: UnknownReason) -> Bytes {
    let outcome = Outcome::Unknown(reason);
    let data = format!(
        r#"{{"outcome":"{}","reason":"{}","request_id":"{id}"}}"#,
        outcome.as_str(),
        outcome.reason(),
    );
    Bytes::from(format!("\n\nevent: {}\ndata: {data}\n\n", headers::OUTCOME))
}
