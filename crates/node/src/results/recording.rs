//! The recording of one response.

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

/// Head of a recorded response.
#[derive(Clone, Debug)]
pub(crate) struct RecordedHead {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// End-to-end headers.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
}

/// What a recording holds at a reader's position.
#[derive(Debug)]
pub(super) enum NextItem {
    /// The next chunk of the body.
    Chunk(Bytes),
    /// Neither a chunk nor the end has arrived.
    Pending,
    /// The end.
    End(ResultEnd),
}

#[derive(Debug, Default)]
struct State {
    head: Option<RecordedHead>,
    chunks: Vec<Bytes>,
    bytes: usize,
    end: Option<ResultEnd>,
    discarded: bool,
}

/// One response, recorded as it arrives. Written by one worker, read by any.
#[derive(Debug)]
pub(crate) struct Recording {
    max_bytes: usize,
    total_bytes: Arc<AtomicUsize>,
    state: Mutex<State>,
    changed: Notify,
}

impl Recording {
    /// Creates an empty recording that may hold `max_bytes` and adds the bytes that
    /// it holds to `total_bytes`.
    pub(super) fn new(max_bytes: usize, total_bytes: Arc<AtomicUsize>) -> Self {
        Self { max_bytes, total_bytes, state: Mutex::default(), changed: Notify::new() }
    }

    /// Records the head of the response.
    pub(crate) fn set_head(&self, head: RecordedHead) {
        self.state().head = Some(head);
        self.changed.notify_waiters();
    }

    /// Records the next chunk of the body. Returns false once the response is too
    /// large to be kept, or was discarded.
    pub(super) fn push(&self, chunk: &Bytes) -> bool {
        let mut state = self.state();
        if state.discarded {
            return false;
        }
        if state.bytes + chunk.len() > self.max_bytes {
            self.clear(&mut state);
            drop(state);
            self.changed.notify_waiters();
            return false;
        }
        state.bytes += chunk.len();
        self.total_bytes.fetch_add(chunk.len(), Ordering::Relaxed);
        state.chunks.push(chunk.clone());
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Records the end. Only the first end counts.
    pub(crate) fn finish(&self, end: ResultEnd) {
        let mut state = self.state();
        let end = if state.discarded && end == ResultEnd::Answered {
            ResultEnd::Unknown(UnknownReason::ResultExpired)
        } else {
            end
        };
        state.end.get_or_insert(end);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns how the recording ended, if it has.
    pub(crate) fn end(&self) -> Option<ResultEnd> {
        self.state().end
    }

    /// Returns the head, if it has arrived.
    pub(super) fn head(&self) -> Option<RecordedHead> {
        self.state().head.clone()
    }

    /// Returns what the recording holds at `index`.
    pub(super) fn next(&self, index: usize) -> NextItem {
        let state = self.state();
        if state.discarded {
            return NextItem::End(ResultEnd::Unknown(UnknownReason::ResultExpired));
        }
        match (state.chunks.get(index), state.end) {
            (Some(chunk), _) => NextItem::Chunk(chunk.clone()),
            (None, Some(end)) => NextItem::End(end),
            (None, None) => NextItem::Pending,
        }
    }

    /// Returns the notification of changes.
    pub(super) fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Discards the body. Readers then get the end with an expired result.
    pub(super) fn discard(&self) {
        self.clear(&mut self.state());
        self.changed.notify_waiters();
    }

    fn clear(&self, state: &mut State) {
        self.total_bytes.fetch_sub(state.bytes, Ordering::Relaxed);
        state.chunks = Vec::new();
        state.bytes = 0;
        state.discarded = true;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        let bytes = self.state().bytes;
        self.total_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}
