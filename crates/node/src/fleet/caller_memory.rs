//! What callers make this host hold, shared by the traffic threads.
//!
//! The decisions are those of [`comfreyway_core::fleet::CallerMemory`]. Each caller's task
//! waits for its eviction, and releases what it holds.

use std::{
    cell::Cell,
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use comfreyway_core::{
    fleet::{CallerId, CallerMemory, CallerMemoryError, CallerMemoryLimits, WorkspaceKey},
    time::MonoTime,
};
use opentelemetry::metrics::Meter;
use tokio::sync::Notify;

use crate::{
    control::Clock,
    events::{Event, log_event},
};

/// Minimum time between two log lines about callers that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

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
pub(super) struct SharedCallerMemory {
    clock: Clock,
    state: Mutex<State>,
}

impl SharedCallerMemory {
    pub(super) fn new(clock: Clock, limits: CallerMemoryLimits) -> Self {
        let memory = CallerMemory::new(limits);
        let state = State { memory, evictions: HashMap::new(), unlogged: Unlogged::default() };
        Self { clock, state: Mutex::new(state) }
    }

    /// Adds the metrics of the account to a meter.
    pub(super) fn observe(self: &Arc<Self>, meter: &Meter) {
        let (bytes, connections) = (self.clone(), self.clone());
        // The meter retains the observable instruments.
        let _ = meter
            .u64_observable_gauge("comfreyway_caller_memory")
            .with_description("Memory held for callers: connections, bodies and responses")
            .with_unit("By")
            .with_callback(move |observer| {
                observer.observe(bytes.lock().memory.used_bytes() as u64, &[]);
            })
            .build();
        let _ = meter
            .u64_observable_gauge("comfreyway_caller_connections")
            .with_description("Connections of callers")
            .with_callback(move |observer| {
                observer.observe(connections.lock().memory.connections() as u64, &[]);
            })
            .build();
    }

    /// Adds a connection; none if this host can't hold another one.
    pub(super) fn connect(self: &Arc<Self>) -> Option<Caller> {
        let id = self.decide(|memory, now, evicted| memory.connect(now, evicted)).ok()?;
        Some(self.caller(id))
    }

    /// Adds a request that another host forwards.
    pub(super) fn forward(self: &Arc<Self>) -> Caller {
        let now = self.clock.now();
        let id = self.lock().memory.forward(now);
        self.caller(id)
    }

    fn caller(self: &Arc<Self>, id: CallerId) -> Caller {
        let eviction = Arc::<Eviction>::default();
        self.lock().evictions.insert(id, eviction.clone());
        let (has_request, is_unread) = (Cell::new(false), Cell::new(false));
        Caller { memory: self.clone(), id, eviction, has_request, is_unread }
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
        let mut evicted = Vec::new();
        let mut state = self.lock();
        let result = decide(&mut state.memory, now, &mut evicted);
        for id in &evicted {
            if let Some(eviction) = state.evictions.get(id) {
                eviction.is_evicted.store(true, Ordering::Release);
                eviction.notify.notify_waiters();
            }
        }
        state.unlogged.evicted += evicted.len();
        state.unlogged.refused += usize::from(result.is_err());
        state.log(now);
        result
    }
}

impl State {
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
pub(super) struct Caller {
    memory: Arc<SharedCallerMemory>,
    id: CallerId,
    eviction: Arc<Eviction>,
    has_request: Cell<bool>,
    is_unread: Cell<bool>,
}

impl Caller {
    /// Waits until the caller has to give way.
    pub(super) async fn evicted(&self) {
        let notified = self.eviction.notify.notified();
        if !self.is_evicted() {
            notified.await;
        }
    }

    /// Returns true if the caller has to give way.
    pub(super) fn is_evicted(&self) -> bool {
        self.eviction.is_evicted.load(Ordering::Acquire)
    }

    /// Records that the head of a request was read.
    pub(super) fn begin_request(&self) {
        self.has_request.set(true);
    }

    /// Records the end of a request.
    pub(super) fn end_request(&self) {
        self.has_request.set(false);
        let now = self.memory.clock.now();
        self.memory.lock().memory.end_request(self.id, now);
    }

    /// Returns true between the head of a request and the end of its response.
    pub(super) fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Records that the connection ends with a response to a request that wasn't read.
    pub(super) fn set_unread(&self) {
        self.is_unread.set(true);
    }

    pub(super) fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Records that a body is being read.
    pub(super) fn begin_body(&self, workspace: WorkspaceKey) {
        let now = self.memory.clock.now();
        self.memory.lock().memory.begin_body(self.id, workspace, now);
    }

    /// Records that more of the body was received.
    pub(super) fn body_advanced(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().memory.body_advanced(self.id, now);
    }

    /// Records that the request was read completely.
    pub(super) fn end_body(&self) -> Result<(), CallerMemoryError> {
        self.memory.lock().memory.end_body(self.id)
    }

    /// Sets the bytes that are held of the request's body.
    pub(super) fn hold_body(&self, bytes: usize) -> Result<(), CallerMemoryError> {
        self.memory.decide(|memory, now, evicted| memory.hold_body(self.id, bytes, now, evicted))
    }

    /// Sets the bytes that are held back of the response.
    pub(super) fn hold_response(&self, bytes: usize) -> Result<(), CallerMemoryError> {
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
