//! Requests that are answered without a dispatch.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, Outcome};

/// Why a request is answered without an upstream's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    pub(super) outcome: Outcome,
    pub(super) detail: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// A request that was not run.
    pub(super) fn not_run<T>(reason: NotRunReason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self { outcome: Outcome::NotRun(reason), detail: detail.into(), retry_after: None }
    }

    /// Adds when to ask again.
    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
