//! Tightest target for the time between tokens among recent requests.

use std::time::Duration;

use crate::time::MonoTime;

/// Length of an interval. A target is kept for at least this time after its
/// last request.
const INTERVAL: Duration = Duration::from_secs(60);

/// Minimum over the current and the previous interval.
#[derive(Debug, Default)]
pub(super) struct TightestTarget {
    current: Option<Duration>,
    previous: Option<Duration>,
    interval_start: MonoTime,
}

impl TightestTarget {
    pub(super) fn record(&mut self, now: MonoTime, target: Option<Duration>) {
        if now.since(self.interval_start) >= INTERVAL {
            self.previous = self.current.take();
            self.interval_start = now;
        }
        self.current = min_some(self.current, target);
    }

    pub(super) fn get(&self) -> Option<Duration> {
        min_some(self.current, self.previous)
    }
}

fn min_some(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
