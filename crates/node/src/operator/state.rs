//! State shared by the operators' calls.

use std::sync::Arc;

use comfreyway_core::ids::HostName;
use comfreyway_proto::operator::HostPhase;
use tokio::sync::{Notify, watch};

use crate::{config::ConfigHandle, control::ControlHandle, settings::Secret, trace::TraceStore};

/// Returns the current phase of the host.
pub type PhaseSource = Arc<dyn Fn() -> HostPhase + Send + Sync>;

/// State shared by the operators' calls. Cheap to clone.
#[derive(Clone)]
pub struct OperatorState {
    pub(super) host: HostName,
    pub(super) secret: Option<Secret>,
    pub(super) config: ConfigHandle,
    pub(super) control: ControlHandle,
    pub(super) phase: PhaseSource,
    pub(super) stop: Arc<Notify>,
    pub(super) trace: Arc<TraceStore>,
}

impl OperatorState {
    /// Creates the state of a host without a secret.
    #[must_use]
    pub fn new(
        host: HostName,
        config: ConfigHandle,
        control: ControlHandle,
        phase: PhaseSource,
    ) -> Self {
        Self {
            host,
            secret: None,
            config,
            control,
            phase,
            stop: Arc::default(),
            trace: Arc::default(),
        }
    }

    /// Sets the trace store whose requests are shown.
    #[must_use]
    pub fn with_trace(mut self, trace: Arc<TraceStore>) -> Self {
        self.trace = trace;
        self
    }

    /// Sets the secret that every call must send.
    #[must_use]
    pub fn with_secret(mut self, secret: Option<Secret>) -> Self {
        self.secret = secret;
        self
    }

    /// Returns a watch that becomes true once the configuration is recent
    /// enough to serve requests.
    #[must_use]
    pub fn config_ready(&self) -> watch::Receiver<bool> {
        self.config.ready()
    }

    /// Returns the notification sent when an operator requests a planned stop.
    #[must_use]
    pub fn stop_requests(&self) -> Arc<Notify> {
        self.stop.clone()
    }
}
