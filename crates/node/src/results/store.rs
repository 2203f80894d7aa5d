//! All recordings of this host.

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

/// Share of the whole memory that one answer may take, as a divisor.
const LARGEST_SHARE: usize = 8;

#[derive(Debug, Default)]
struct State {
    recordings: HashMap<RequestId, Arc<Recording>>,
    finished: VecDeque<(Instant, RequestId)>,
}

/// All recordings of this host, bounded by time and bytes.
#[derive(Debug)]
pub(crate) struct ResultStore {
    max_bytes: usize,
    keep: Duration,
    total: Arc<AtomicUsize>,
    state: Mutex<State>,
}

impl ResultStore {
    /// A store that keeps `max_bytes` and each finished answer for `keep`.
    pub(crate) fn new(max_bytes: usize, keep: Duration) -> Self {
        Self { max_bytes, keep, total: Arc::default(), state: Mutex::default() }
    }

    /// Begins the recording of a request.
    pub(crate) fn create(&self, id: RequestId) -> Arc<Recording> {
        let max_bytes = self.max_bytes / LARGEST_SHARE;
        let recording = Arc::new(Recording::new(max_bytes, Arc::clone(&self.total)));
        let mut state = self.state();
        state.recordings.insert(id, Arc::clone(&recording));
        self.evict(&mut state);
        recording
    }

    /// Adds a piece of an answer. Finished answers make room, the oldest first.
    /// Returns false once the answer can't be kept.
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

    /// The recording of a request, if it is still kept.
    pub(crate) fn find(&self, id: RequestId) -> Option<Arc<Recording>> {
        self.state().recordings.get(&id).cloned()
    }

    /// Notes that a recording has ended, and begins the time that it is kept.
    pub(crate) fn mark_finished(&self, id: RequestId) {
        let mut state = self.state();
        if state.recordings.contains_key(&id) {
            state.finished.push_back((Instant::now(), id));
        }
        self.evict(&mut state);
    }

    fn evict(&self, state: &mut State) {
        while let Some(&(since, id)) = state.finished.front() {
            if since.elapsed() <= self.keep && self.bytes() <= self.max_bytes {
                return;
            }
            state.finished.pop_front();
            if let Some(recording) = state.recordings.remove(&id) {
                recording.discard();
            }
        }
    }

    fn bytes(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
