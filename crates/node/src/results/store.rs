//! Store of this host's recordings.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyway_core::ids::RequestId;

use super::Recording;

/// One recording may hold the store's bytes divided by this.
const RECORDING_SHARE_DIVISOR: usize = 8;

#[derive(Debug, Default)]
struct State {
    recordings: HashMap<RequestId, Arc<Recording>>,
    finished: VecDeque<(Instant, RequestId)>,
}

/// The recordings of this host, limited by time and bytes.
#[derive(Debug)]
pub(crate) struct ResultStore {
    max_bytes: usize,
    retention: Duration,
    total_bytes: Arc<AtomicUsize>,
    state: Mutex<State>,
}

impl ResultStore {
    /// Creates a store that holds at most `max_bytes` and keeps each finished
    /// recording for `retention`.
    pub(crate) fn new(max_bytes: usize, retention: Duration) -> Self {
        Self { max_bytes, retention, total_bytes: Arc::default(), state: Mutex::default() }
    }

    /// Creates the recording of a request.
    pub(crate) fn create(&self, id: RequestId) -> Arc<Recording> {
        let max_bytes = self.max_bytes / RECORDING_SHARE_DIVISOR;
        let recording = Arc::new(Recording::new(max_bytes, Arc::clone(&self.total_bytes)));
        let mut state = self.state();
        state.recordings.insert(id, Arc::clone(&recording));
        self.evict(&mut state);
        recording
    }

    /// Adds a chunk to a recording. Evicts finished recordings, the oldest first,
    /// while the store is over its limit. Returns false if the recording was
    /// discarded because it is too large or the store is still over its limit.
    pub(crate) fn push(&self, recording: &Recording, chunk: &Bytes) -> bool {
        if !recording.push(chunk) {
            return false;
        }
        if self.bytes() <= self.max_bytes {
            return true;
        }
        self.evict(&mut self.state());
        let fits = self.bytes() <= self.max_bytes;
        if !fits {
            recording.discard();
        }
        fits
    }

    /// Returns the recording of a request, if it is still kept.
    pub(crate) fn find(&self, id: RequestId) -> Option<Arc<Recording>> {
        self.state().recordings.get(&id).cloned()
    }

    /// Records that a request's recording has ended, and starts its retention time.
    pub(crate) fn mark_finished(&self, id: RequestId) {
        let mut state = self.state();
        if state.recordings.contains_key(&id) {
            state.finished.push_back((Instant::now(), id));
        }
        self.evict(&mut state);
    }

    fn evict(&self, state: &mut State) {
        while let Some(&(finished_at, id)) = state.finished.front() {
            if finished_at.elapsed() <= self.retention && self.bytes() <= self.max_bytes {
                return;
            }
            state.finished.pop_front();
            if let Some(recording) = state.recordings.remove(&id) {
                recording.discard();
            }
        }
    }

    fn bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
