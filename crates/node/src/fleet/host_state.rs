//! State of the host that the traffic threads read.

use std::{
    rc::Rc,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use comfreyway_core::{
    fleet::{CallerMemoryLimits, FleetConfig, StopPhase},
    time::MonoTime,
};
use tokio::sync::watch;

use crate::{
    caller_memory::{Caller, SharedCallerMemory},
    control::Clock,
};

use super::forward::ForwardHost;

/// State that the control thread writes and the traffic threads read.
#[derive(Debug)]
pub(super) struct HostState {
    pub(super) clock: Clock,
    config: RwLock<Option<Arc<FleetConfig>>>,
    /// In microseconds; zero if never verified.
    verified_us: AtomicU64,
    stop_phase: watch::Sender<StopPhase>,
    in_progress: AtomicUsize,
    hosts: AtomicUsize,
    limited_runners: AtomicBool,
    forward_hosts: RwLock<Arc<[ForwardHost]>>,
    pub(super) caller_memory: Arc<SharedCallerMemory>,
}

impl HostState {
    pub(super) fn new(clock: Clock, limits: CallerMemoryLimits) -> Self {
        Self {
            clock,
            config: RwLock::default(),
            verified_us: AtomicU64::new(0),
            stop_phase: watch::Sender::new(StopPhase::Serving),
            in_progress: AtomicUsize::new(0),
            hosts: AtomicUsize::new(1),
            limited_runners: AtomicBool::new(false),
            forward_hosts: RwLock::new(Arc::from([])),
            caller_memory: Arc::new(SharedCallerMemory::new(clock, limits)),
        }
    }

    /// Number of hosts that may be serving, including this one.
    pub(super) fn hosts(&self) -> usize {
        self.hosts.load(Ordering::Relaxed)
    }

    pub(super) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts, Ordering::Relaxed);
    }

    /// Returns the other hosts that forward requests.
    pub(super) fn forward_hosts(&self) -> Arc<[ForwardHost]> {
        self.forward_hosts.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    pub(super) fn set_forward_hosts(&self, hosts: Vec<ForwardHost>) {
        *self.forward_hosts.write().unwrap_or_else(std::sync::PoisonError::into_inner) =
            hosts.into();
    }

    /// Returns true if a runner is known to have a rate limit.
    pub(super) fn has_limited_runners(&self) -> bool {
        self.limited_runners.load(Ordering::Relaxed)
    }

    pub(super) fn set_limited_runners(&self, any: bool) {
        self.limited_runners.store(any, Ordering::Relaxed);
    }

    /// Returns the configuration in force.
    pub(super) fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    pub(super) fn set_config(&self, config: Arc<FleetConfig>) {
        *self.config.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(config);
    }

    /// Records that the configuration in force was the newest at this time.
    pub(super) fn set_verified(&self, at: MonoTime) {
        self.verified_us.fetch_max(at.as_micros(), Ordering::Relaxed);
    }

    /// Returns when the configuration in force was last verified as the newest.
    pub(super) fn verified_at(&self) -> MonoTime {
        MonoTime::from_micros(self.verified_us.load(Ordering::Relaxed))
    }

    /// Enters a phase of a planned stop. Earlier phases are ignored.
    pub(super) fn set_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    pub(super) fn stop_phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop_phase() > StopPhase::Serving
    }

    /// Waits until a planned stop has reached this phase.
    pub(super) async fn stop_phase_reached(&self, phase: StopPhase) {
        let mut phases = self.stop_phase.subscribe();
        // The value isn't kept borrowed, which would block the next phase. The sender lives
        // as long as this state.
        if phases.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the result is dropped.
    pub(super) fn start_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress { host_state: self.clone(), caller: None }
    }
}

/// Counts a request as in progress while it exists.
#[derive(Debug)]
pub(super) struct InProgress {
    host_state: Arc<HostState>,
    caller: Option<Rc<Caller>>,
}

impl InProgress {
    /// Counts the request as this caller's as well.
    pub(super) fn of_caller(mut self, caller: Rc<Caller>) -> Self {
        caller.begin_request();
        self.caller = Some(caller);
        self
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.host_state.in_progress.fetch_sub(1, Ordering::Relaxed);
        if let Some(caller) = &self.caller {
            caller.end_request();
        }
    }
}
