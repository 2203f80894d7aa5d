//! Rate limit of calls.

use std::time::{Duration, Instant};

/// Limits calls per second. The burst is one second's worth of calls.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(super) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    /// Takes one token. Returns false if none is left.
    pub(super) fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed: Duration = now - self.refilled_at;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
