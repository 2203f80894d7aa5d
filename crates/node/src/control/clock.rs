//! Monotonic clock of the control thread and incarnation numbers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfreyway_core::time::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts at zero and includes the time for which the host
/// was suspended, so that verification times and grants also age meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let elapsed = since_boot().saturating_sub(self.start);
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        MonoTime::from_micros(us)
    }
}

fn since_boot() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the incarnation number of a process that starts now: microseconds
/// since the Unix epoch.
#[must_use]
pub fn incarnation_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
