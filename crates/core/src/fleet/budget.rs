//! Budget for sending a request to a second runner.
//!
//! When a fault makes many requests fail at once, the budget keeps the retries
//! from adding much load. A retry is an arrival at a runner beyond the request's first
//! one, whether that runner ran it or not.

use std::fmt;

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

/// Fraction of the slack that a full bucket holds, and that is refilled in a window. Any
/// window has at most twice as many retries beyond the ratio. The rest covers coordinators
/// whose shares overlap for a moment.
const USED_SLACK_FRACTION: f64 = 0.4;

/// Retries left for one upstream, as a token bucket.
///
/// A retry takes its token when it begins to wait. Until it is sent, the token keeps its
/// place in the bucket, so that retries that have waited don't add up with those that the
/// bucket allows meanwhile.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{RetryBudget, RetryBudgetLimits, Share},
///     time::MonoTime,
/// };
///
/// let limits = RetryBudgetLimits { ratio: 0.2, slack: 10.0, window_s: 10.0 };
/// let (start, later) = (MonoTime::ZERO, MonoTime::from_millis(60_000));
/// let all = Share::new(1, 1);
/// let mut budget = RetryBudget::new(start, limits);
/// assert!(!budget.take(start, all));
/// assert_eq!((0..10).filter(|_| budget.take(later, all)).count(), 4);
/// let much_later = MonoTime::from_millis(600_000);
/// assert!(!budget.take(much_later, all), "none of the four was sent");
/// budget.sent();
/// assert!(budget.take(MonoTime::from_millis(603_000), all));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    available: f64,
    /// Tokens of retries that have not been sent.
    waiting: f64,
    updated_at: MonoTime,
    /// Retries that were taken, and those that were refused, since its creation.
    taken: u64,
    refused: u64,
}

impl RetryBudget {
    /// Creates an empty budget. The coordinator before may have used its whole slack a
    /// moment ago.
    #[must_use]
    pub fn new(now: MonoTime, limits: RetryBudgetLimits) -> Self {
        Self { limits, available: 0.0, waiting: 0.0, updated_at: now, taken: 0, refused: 0 }
    }

    /// Creates a budget with its slack unspent, for a host that shares it with no other.
    #[must_use]
    pub fn with_unused_slack(now: MonoTime, limits: RetryBudgetLimits) -> Self {
        Self { available: limits.slack * USED_SLACK_FRACTION, ..Self::new(now, limits) }
    }

    /// Adds the retries that the first arrival of a request allows.
    pub fn deposit(&mut self, share: Share) {
        self.add(self.limits.ratio, share);
    }

    /// Takes one retry, which waits until it is sent or released. Returns false if none is
    /// left.
    pub fn take(&mut self, now: MonoTime, share: Share) -> bool {
        let slack = share.of(self.limits.slack * USED_SLACK_FRACTION);
        let refill = now.since(self.updated_at).as_secs_f64() / self.limits.window_s * slack;
        self.updated_at = now;
        self.add(refill, share);
        if self.available < 1.0 {
            self.refused += 1;
            return false;
        }
        self.available -= 1.0;
        self.waiting += 1.0;
        self.taken += 1;
        true
    }

    /// Records that a retry was sent to a runner.
    pub fn sent(&mut self) {
        self.waiting = (self.waiting - 1.0).max(0.0);
    }

    /// Records that a retry that was sent has not reached its runner and waits again.
    pub fn wait_again(&mut self) {
        self.waiting += 1.0;
    }

    /// Gives back a retry that waited and won't be sent.
    pub fn release(&mut self, share: Share) {
        self.sent();
        self.add(1.0, share);
    }

    /// Returns the number of retries that were asked for.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.taken + self.refused
    }

    fn add(&mut self, tokens: f64, share: Share) {
        let cap = share.of(self.limits.slack * USED_SLACK_FRACTION) - self.waiting;
        self.available = (self.available + tokens).min(cap.max(0.0));
    }
}

impl fmt::Display for RetryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { available, waiting, taken, refused, .. } = self;
        write!(f, "{taken} taken, {refused} refused, {waiting:.0} wait, {available:.1} left")
    }
}
