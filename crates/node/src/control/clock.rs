//! Monotonic time of this process for the decisions.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use comfreyway_core::time::MonoTime;

/// Monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonoTime::from_micros(us)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Incarnation of a process that starts now: microseconds since the Unix epoch.
#[must_use]
pub fn incarnation_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
