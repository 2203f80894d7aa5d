//! A limit of calls per second.

use std::time::{Duration, Instant};

/// Refills with the time, holds at most one second's worth of calls.
#[derive(Debug)]
pub(super) struct RateLimit {
    per_second: f64,
    left: f64,
    seen: Instant,
}

impl RateLimit {
    pub(super) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, left: per_second, seen: Instant::now() }
    }

    /// Takes one call if the limit allows it.
    pub(super) fn take(&mut self) -> bool {
        let now = Instant::now();
        let passed: Duration = now - self.seen;
        self.seen = now;
        self.left = (self.left + passed.as_secs_f64() * self.per_second).min(self.per_second);
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}
