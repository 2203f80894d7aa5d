//! What the operators' calls read and change.

use std::sync::Arc;

use comfreyway_core::ids::HostName;
use comfreyway_proto::operator::HostPhase;
use tokio::sync::{Notify, watch};

use crate::{config::ConfigHandle, control::ControlHandle, settings::Secret, trace::TraceStore};

/// Tells the phase of the host.
pub type PhaseSource = Arc<dyn Fn() -> HostPhase + Send + Sync>;

/// What the operators' calls read and change. Cheap to clone.
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
    /// The state of a host without a secret.
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

    /// Shows the requests that this store keeps.
    #[must_use]
    pub fn with_trace(mut self, trace: Arc<TraceStore>) -> Self {
        self.trace = trace;
        self
    }

    /// Asks for this secret in every call.
    #[must_use]
    pub fn with_secret(mut self, secret: Option<Secret>) -> Self {
        self.secret = secret;
        self
    }

    /// Turns true once the configuration in force is new enough to serve with.
    #[must_use]
    pub fn config_ready(&self) -> watch::Receiver<bool> {
        self.config.ready()
    }

    /// Notified once when an operator asks for a planned stop.
    #[must_use]
    pub fn stop_requests(&self) -> Arc<Notify> {
        self.stop.clone()
    }
}
