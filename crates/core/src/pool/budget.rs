//! Retry budget of one pool. Prevents retries from amplifying an overload.

/// Maximum number of saved retries.
const MAX_BALANCE: f64 = 50.0;

/// Retries added by each grant.
const RETRIES_PER_GRANT: f64 = 0.1;

/// Token bucket that each grant fills and each retry drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self { balance: MAX_BALANCE }
    }

    pub(super) fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_GRANT).min(MAX_BALANCE);
    }

    /// Removes one retry. Returns false if the budget is exhausted.
    pub(super) fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    pub(super) fn balance(&self) -> f64 {
        self.balance
    }
}
