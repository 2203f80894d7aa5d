//! State shared by all HTTP workers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyway_core::{
    config::Document,
    ids::{DataCentreName, RequestId},
};
use tokio::sync::{Notify, watch};

use crate::{
    caller_memory::SharedCallerMemory,
    control::{Clock, ControlHandle},
    metrics::TrafficMetrics,
    results::ResultStore,
    settings::{Limits, Secret, Settings},
    trace::TraceStore,
};

use super::Phase;

/// Time after which a caller may try again, if no better estimate is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by all HTTP workers: settings, the current configuration, the
/// handle of the control thread, metrics, and recordings.
#[derive(Debug)]
pub struct TrafficState {
    pub(crate) data_centre: DataCentreName,
    pub(crate) limits: Limits,
    pub(crate) caller_memory: Arc<SharedCallerMemory>,
    pub(crate) config: watch::Receiver<Arc<Document>>,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: TrafficMetrics,
    pub(crate) results: ResultStore,
    pub(crate) secret: Option<Secret>,
    pub(crate) trace: Arc<TraceStore>,
    phase: watch::Sender<Phase>,
    in_progress: AtomicUsize,
    idle: Notify,
}

impl TrafficState {
    /// Creates the state of a process that is ready to serve.
    #[must_use]
    pub fn new(
        settings: &Settings,
        config: watch::Receiver<Arc<Document>>,
        control: ControlHandle,
        metrics: TrafficMetrics,
    ) -> Self {
        let limits = settings.limits.clone();
        Self {
            data_centre: settings.data_centre.clone(),
            caller_memory: Arc::new(SharedCallerMemory::new(Clock::new(), limits.caller_memory())),
            results: ResultStore::new(limits.max_results_bytes, limits.result_ttl),
            limits,
            secret: settings.secret.clone(),
            trace: Arc::default(),
            config,
            control,
            metrics,
            phase: watch::Sender::new(Phase::Serving),
            in_progress: AtomicUsize::new(0),
            idle: Notify::new(),
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves to a later phase. Earlier phases are ignored.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = (phase as u8) > (*current as u8);
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Returns the number of requests that are neither answered nor refused
    /// yet.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let changed = self.idle.notified();
            if self.in_progress() == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Generates a request id.
    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId::new(rand::random())
    }

    pub(super) fn request_started(&self) {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_progress(1);
    }

    pub(super) fn request_ended(&self) {
        self.metrics.in_progress(-1);
        if self.in_progress.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.idle.notify_waiters();
        }
    }

    /// Subscribes to phase changes.
    pub(super) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
