//! Budget of retries of one pool, so that retries can't grow an overload.

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 50.0;

/// Retries earned by each grant.
const EARNED_PER_GRANT: f64 = 0.1;

/// A bucket that fills with each grant and empties with each retry.
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

    /// Takes one retry, or returns false if the budget is spent.
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
