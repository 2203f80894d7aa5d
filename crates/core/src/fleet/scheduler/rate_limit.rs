//! Rate limit of one runner: a bucket of requests that fills at the runner's rate.
//!
//! It is empty at first: what the runner got before it named its limit is still on its
//! way. While requests wait, each is granted as soon as the bucket holds one.

use crate::time::MonoTime;

/// Time whose requests the bucket holds beyond one, in seconds.
const BURST_S: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl RateLimit {
    pub(super) fn new(now: MonoTime, per_s: f64) -> Self {
        Self { per_s, tokens: 0.0, refilled_at: now }
    }

    pub(super) fn per_s(&self) -> f64 {
        self.per_s
    }

    pub(super) fn set(&mut self, now: MonoTime, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.refill(now);
    }

    /// Returns true if a request may be sent now.
    pub(super) fn allows(&self, now: MonoTime) -> bool {
        self.tokens_at(now) >= 1.0
    }

    pub(super) fn take(&mut self, now: MonoTime) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: MonoTime) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_at(&self, now: MonoTime) -> f64 {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.per_s;
        (self.tokens + earned).min(1.0 + BURST_S * self.per_s)
    }
}
