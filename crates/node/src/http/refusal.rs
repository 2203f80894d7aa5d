//! Requests that end without an upstream response.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, Outcome};

/// Outcome of a request that ends without an upstream response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    pub(super) outcome: Outcome,
    pub(super) detail: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    pub(super) fn not_run<T>(reason: NotRunReason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self { outcome: Outcome::NotRun(reason), detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which the caller may try again.
    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
