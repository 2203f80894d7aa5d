//! Budget for sending a request to a second runner.
//!
//! When a fault makes many requests fail at once, the budget keeps the retries
//! from adding much load.

use crate::time::MonoTime;

use super::Share;

/// Limits on retries, as set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed for each first arrival.
    pub ratio: f64,
    /// Additional retries allowed in a window.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

/// Fraction of the slack that is used. The rest covers a coordinator that takes
/// over with a fresh budget within the same window.
const USED_SLACK_FRACTION: f64 = 0.4;

/// Retries left for one upstream, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    available: f64,
    updated_at: MonoTime,
}

impl RetryBudget {
    /// Creates a budget with its slack unspent.
    #[must_use]
    pub fn new(now: MonoTime, limits: RetryBudgetLimits, share: Share) -> Self {
        Self { limits, available: share.of(limits.slack * USED_SLACK_FRACTION), updated_at: now }
    }

    /// Adds the retries that the first arrival of a request allows.
    pub fn deposit(&mut self, share: Share) {
        self.available = (self.available + self.limits.ratio)
            .min(share.of(self.limits.slack * USED_SLACK_FRACTION));
    }

    /// Takes one retry, or returns false if none is left.
    pub fn take(&mut self, now: MonoTime, share: Share) -> bool {
        let cap = share.of(self.limits.slack * USED_SLACK_FRACTION);
        let refill = now.since(self.updated_at).as_secs_f64() / self.limits.window_s * cap;
        self.updated_at = now;
        self.available = (self.available + refill).min(cap);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
