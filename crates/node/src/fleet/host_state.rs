//! State of the host that the traffic threads read.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use comfreyway_core::{fleet::FleetConfig, time::MonoTime};

use crate::control::Clock;

use super::{forward::ForwardHost, response_memory::ResponseMemory};

/// State that the control thread writes and the traffic threads read.
#[derive(Debug)]
pub(super) struct HostState {
    pub(super) clock: Clock,
    config: RwLock<Option<Arc<FleetConfig>>>,
    /// In microseconds; zero if never verified.
    verified_us: AtomicU64,
    stopping: AtomicBool,
    refusing: AtomicBool,
    in_progress: AtomicUsize,
    hosts: AtomicUsize,
    limited_runners: AtomicBool,
    forward_hosts: RwLock<Arc<[ForwardHost]>>,
    pub(super) response_memory: Arc<ResponseMemory>,
}

impl HostState {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            config: RwLock::default(),
            verified_us: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            hosts: AtomicUsize::new(1),
            limited_runners: AtomicBool::new(false),
            forward_hosts: RwLock::new(Arc::from([])),
            response_memory: Arc::default(),
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

    pub(super) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on.
    pub(super) fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the result is dropped.
    pub(super) fn start_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }
}

/// Counts a request as in progress while it exists.
#[derive(Debug)]
pub(super) struct InProgress(Arc<HostState>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
