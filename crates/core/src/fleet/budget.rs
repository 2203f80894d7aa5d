//! Budget for sending a request to a second runner.
//!
//! Answers a fault that makes many requests fail at once: repeats may not
//! become a load of their own.

use crate::time::MonoTime;

use super::Share;

/// What the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats allowed for each first arrival.
    pub ratio: f64,
    /// Repeats allowed in a window besides.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

/// Part of the slack that is used; the rest covers a coordinator that takes
/// over with a fresh budget within the same window.
const USED_SLACK: f64 = 0.4;

/// Repeats that are left for one upstream.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    rule: RetryBudgetLimits,
    saved: f64,
    at: MonoTime,
}

impl RetryBudget {
    /// A budget with its slack unspent.
    #[must_use]
    pub fn new(now: MonoTime, rule: RetryBudgetLimits, share: Share) -> Self {
        Self { rule, saved: share.of(rule.slack * USED_SLACK), at: now }
    }

    /// Notes the first arrival of a request.
    pub fn deposit(&mut self, share: Share) {
        self.saved = (self.saved + self.rule.ratio).min(share.of(self.rule.slack * USED_SLACK));
    }

    /// Takes one repeat, or returns false if none is left.
    pub fn take(&mut self, now: MonoTime, share: Share) -> bool {
        let cap = share.of(self.rule.slack * USED_SLACK);
        let gained = now.since(self.at).as_secs_f64() / self.rule.window_s * cap;
        self.at = now;
        self.saved = (self.saved + gained).min(cap);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
