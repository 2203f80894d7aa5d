//! One answer as it arrives.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

use actix_web::http::{
    StatusCode,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use comfreyway_core::outcome::UnknownReason;
use comfreyway_proto::result::ResultEnd;
use tokio::sync::Notify;

/// Head of a recorded answer.
#[derive(Clone, Debug)]
pub(crate) struct RecordedHead {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// End-to-end headers.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
}

/// What a reader finds at its position.
#[derive(Debug)]
pub(super) enum Next {
    /// The next piece of the body.
    Chunk(Bytes),
    /// Nothing yet.
    NotYet,
    /// The end.
    End(ResultEnd),
}

#[derive(Debug, Default)]
struct State {
    head: Option<RecordedHead>,
    chunks: Vec<Bytes>,
    bytes: usize,
    end: Option<ResultEnd>,
    dropped: bool,
}

/// One answer as it arrives. Written by one worker, read by any.
#[derive(Debug)]
pub(crate) struct Recording {
    max_bytes: usize,
    total: Arc<AtomicUsize>,
    state: Mutex<State>,
    changed: Notify,
}

impl Recording {
    /// An empty recording that may hold `max_bytes` and adds what it holds to
    /// `total`.
    pub(super) fn new(max_bytes: usize, total: Arc<AtomicUsize>) -> Self {
        Self { max_bytes, total, state: Mutex::default(), changed: Notify::new() }
    }

    /// Takes the head of the answer.
    pub(crate) fn set_head(&self, head: RecordedHead) {
        self.state().head = Some(head);
        self.changed.notify_waiters();
    }

    /// Takes the next piece of the body. Returns false once the answer has
    /// become too large to be kept.
    pub(super) fn push(&self, chunk: &Bytes) -> bool {
        let mut state = self.state();
        if state.dropped {
            return false;
        }
        if state.bytes + chunk.len() > self.max_bytes {
            self.clear(&mut state);
            drop(state);
            self.changed.notify_waiters();
            return false;
        }
        state.bytes += chunk.len();
        self.total.fetch_add(chunk.len(), Ordering::Relaxed);
        state.chunks.push(chunk.clone());
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Takes the end. Only the first end counts.
    pub(crate) fn finish(&self, end: ResultEnd) {
        let mut state = self.state();
        let end = if state.dropped && end == ResultEnd::Answered {
            ResultEnd::Unknown(UnknownReason::ResultExpired)
        } else {
            end
        };
        state.end.get_or_insert(end);
        drop(state);
        self.changed.notify_waiters();
    }

    /// How the recording ended, if it has.
    pub(crate) fn end(&self) -> Option<ResultEnd> {
        self.state().end
    }

    /// The head, if it has arrived.
    pub(super) fn head(&self) -> Option<RecordedHead> {
        self.state().head.clone()
    }

    /// What stands at `index`.
    pub(super) fn next(&self, index: usize) -> Next {
        let state = self.state();
        if state.dropped {
            return Next::End(ResultEnd::Unknown(UnknownReason::ResultExpired));
        }
        match (state.chunks.get(index), state.end) {
            (Some(chunk), _) => Next::Chunk(chunk.clone()),
            (None, Some(end)) => Next::End(end),
            (None, None) => Next::NotYet,
        }
    }

    /// Signals every change.
    pub(super) fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Gives up what is kept.
    pub(super) fn discard(&self) {
        self.clear(&mut self.state());
        self.changed.notify_waiters();
    }

    fn clear(&self, state: &mut State) {
        self.total.fetch_sub(state.bytes, Ordering::Relaxed);
        state.chunks = Vec::new();
        state.bytes = 0;
        state.dropped = true;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        let bytes = self.state().bytes;
        self.total.fetch_sub(bytes, Ordering::Relaxed);
    }
}
