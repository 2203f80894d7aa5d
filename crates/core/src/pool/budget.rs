//! Retry budget of one pool. Prevents retries from amplifying an overload.

/// Maximum number of saved retries.
const MAX_SAVED: f64 = 50.0;

/// Retries added by each grant.
const EARNED_PER_GRANT: f64 = 0.1;

/// Token bucket that each grant fills and each retry drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self { saved: MAX_SAVED }
    }

    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_GRANT).min(MAX_SAVED);
    }

    /// Removes one retry. Returns false if the budget is exhausted.
    pub(super) fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    pub(super) fn saved(&self) -> f64 {
        self.saved
    }
}
