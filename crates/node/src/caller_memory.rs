//! What callers make this host hold, shared by the threads that serve them.
//!
//! The decisions are those of [`comfreyway_core::fleet::CallerMemory`]. Each caller's task
//! waits for its eviction, and releases what it holds.

mod body_buffer;

use std::{
    cell::Cell,
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use comfreyway_core::{
    fleet::{CallerId, CallerMemory, CallerMemoryError, CallerMemoryLimits, WorkspaceKey},
    ids::WorkspaceName,
    time::MonoTime,
};
use tokio::sync::Notify;

use crate::{
    control::Clock,
    events::{Event, log_event},
    metrics::CallerUsage,
};

pub(crate) use self::body_buffer::{BodyBuffer, BodyError};

/// Minimum time between two log lines about callers that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the key of a workspace in the account.
pub(crate) fn workspace_key(name: &WorkspaceName) -> WorkspaceKey {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    WorkspaceKey(hasher.finish())
}

/// Bytes of a body or response after which it counts as having advanced.
const PROGRESS_BYTES: usize = 16 << 10;

/// Tells a caller's task to give way.
#[derive(Debug, Default)]
struct Eviction {
    is_evicted: AtomicBool,
    notify: Notify,
}

/// Callers that gave way or were refused since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    evicted: usize,
    refused: usize,
    logged_at: Option<MonoTime>,
}

#[derive(Debug)]
struct State {
    memory: CallerMemory,
    evictions: HashMap<CallerId, Arc<Eviction>>,
    unlogged: Unlogged,
}

/// The account of all callers of a host.
#[derive(Debug)]
pub(crate) struct SharedCallerMemory {
    clock: Clock,
    state: Mutex<State>,
}

impl SharedCallerMemory {
    pub(crate) fn new(clock: Clock, limits: CallerMemoryLimits) -> Self {
        let memory = CallerMemory::new(limits);
        let state = State { memory, evictions: HashMap::new(), unlogged: Unlogged::default() };
        Self { clock, state: Mutex::new(state) }
    }

    /// Returns what is held now.
    pub(crate) fn usage(&self) -> CallerUsage {
        let state = self.lock();
        let (bytes, connections) = (state.memory.used_bytes(), state.memory.connections());
        CallerUsage { bytes: bytes as u64, connections: connections as u64 }
    }

    /// Adds a connection; none if this host can't hold another one.
    pub(crate) fn connect(self: &Arc<Self>) -> Option<Caller> {
        let now = self.clock.now();
        let mut state = self.lock();
        let id = state.decide(now, |memory, evicted| memory.connect(now, evicted)).ok()?;
        Some(self.caller(&mut state, id))
    }

    /// Adds a request whose connection is not in the account.
    pub(crate) fn request(self: &Arc<Self>) -> Caller {
        let now = self.clock.now();
        let mut state = self.lock();
        let id = state.memory.add_request(now);
        self.caller(&mut state, id)
    }

    /// Returns the handle of a caller, before another thread can decide on it.
    fn caller(self: &Arc<Self>, state: &mut State, id: CallerId) -> Caller {
        let eviction = Arc::<Eviction>::default();
        state.evictions.insert(id, eviction.clone());
        Caller::new(self.clone(), id, eviction)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a decision and tells the callers that have to give way.
    fn decide<F, T>(&self, decide: F) -> Result<T, CallerMemoryError>
    where
        F: FnOnce(&mut CallerMemory, MonoTime, &mut Vec<CallerId>) -> Result<T, CallerMemoryError>,
    {
        let now = self.clock.now();
        self.lock().decide(now, |memory, evicted| decide(memory, now, evicted))
    }
}

impl State {
    fn decide<F, T>(&mut self, now: MonoTime, decide: F) -> Result<T, CallerMemoryError>
    where
        F: FnOnce(&mut CallerMemory, &mut Vec<CallerId>) -> Result<T, CallerMemoryError>,
    {
        let mut evicted = Vec::new();
        let result = decide(&mut self.memory, &mut evicted);
        for id in &evicted {
            if let Some(eviction) = self.evictions.get(id) {
                eviction.is_evicted.store(true, Ordering::Release);
                eviction.notify.notify_waiters();
            }
        }
        self.unlogged.evicted += evicted.len();
        self.unlogged.refused += usize::from(result.is_err());
        self.log(now);
        result
    }

    fn log(&mut self, now: MonoTime) {
        let Unlogged { evicted, refused, logged_at } = self.unlogged;
        let is_due = logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if (evicted, refused) == (0, 0) || !is_due {
            return;
        }
        self.unlogged = Unlogged { logged_at: Some(now), ..Unlogged::default() };
        log_event!(
            Event::CallersGaveWay,
            evicted = evicted,
            refused = refused,
            connections = self.memory.connections(),
            held_bytes = self.memory.used_bytes()
        );
    }
}

/// One caller, which is removed from the account on drop.
#[derive(Debug)]
pub(crate) struct Caller {
    memory: Arc<SharedCallerMemory>,
    id: CallerId,
    eviction: Arc<Eviction>,
    has_request: Cell<bool>,
    is_unread: Cell<bool>,
    /// Bytes of the complete response that were written since it last counted as having
    /// advanced. None if no large response is being written.
    delivered: Cell<Option<usize>>,
}

impl Caller {
    fn new(memory: Arc<SharedCallerMemory>, id: CallerId, eviction: Arc<Eviction>) -> Self {
        let (has_request, is_unread) = (Cell::new(false), Cell::new(false));
        Self { memory, id, eviction, has_request, is_unread, delivered: Cell::new(None) }
    }

    /// Waits until the caller has to give way.
    pub(crate) async fn evicted(&self) {
        let notified = self.eviction.notify.notified();
        if !self.is_evicted() {
            notified.await;
        }
    }

    /// Returns true if the caller has to give way.
    pub(crate) fn is_evicted(&self) -> bool {
        self.eviction.is_evicted.load(Ordering::Acquire)
    }

    /// Records that the head of a request was read.
    pub(crate) fn begin_request(&self) {
        self.has_request.set(true);
    }

    /// Records the end of a request.
    pub(crate) fn end_request(&self) {
        self.has_request.set(false);
        self.delivered.set(None);
        let now = self.memory.clock.now();
        self.memory.lock().memory.end_request(self.id, now);
    }

    /// Returns true between the head of a request and the end of its response.
    pub(crate) fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Records that the connection ends with a response to a request that wasn't read.
    pub(crate) fn set_unread(&self) {
        self.is_unread.set(true);
    }

    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Records that a body is being read.
    pub(crate) fn begin_body(&self, workspace: WorkspaceKey) {
        let now = self.memory.clock.now();
        self.memory.lock().memory.begin_body(self.id, workspace, now);
    }

    /// Records that more of the body was received.
    pub(crate) fn body_advanced(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().memory.body_advanced(self.id, now);
    }

    /// Records that the request was read completely.
    pub(crate) fn end_body(&self) -> Result<(), CallerMemoryError> {
        self.memory.lock().memory.end_body(self.id)
    }

    /// Sets the bytes that are held of the request's body.
    pub(crate) fn hold_body(&self, bytes: usize) -> Result<(), CallerMemoryError> {
        self.memory.decide(|memory, now, evicted| memory.hold_body(self.id, bytes, now, evicted))
    }

    /// Records that a large response is complete and is being written.
    pub(crate) fn begin_delivery(&self) {
        self.delivered.set(Some(0));
        let now = self.memory.clock.now();
        self.memory.lock().memory.begin_delivery(self.id, now);
    }

    /// Records that bytes were written to the caller's connection.
    pub(crate) fn written(&self, bytes: usize) {
        let Some(delivered) = self.delivered.get() else { return };
        let delivered = delivered + bytes;
        if delivered < PROGRESS_BYTES {
            self.delivered.set(Some(delivered));
            return;
        }
        self.delivered.set(Some(0));
        let now = self.memory.clock.now();
        self.memory.lock().memory.delivery_advanced(self.id, now);
    }

    /// Sets the bytes that are held back of the response.
    pub(crate) fn hold_response(&self, bytes: usize) -> Result<(), CallerMemoryError> {
        self.memory
            .decide(|memory, now, evicted| memory.hold_response(self.id, bytes, now, evicted))
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.evictions.remove(&self.id);
        state.memory.remove(self.id);
    }
}
