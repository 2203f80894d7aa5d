//! Tightest target for the time between tokens among recent requests.

use std::time::Duration;

use crate::time::MonoTime;

/// Length of an interval. A target is kept for at least this time after its
/// last request.
const MEMORY: Duration = Duration::from_secs(60);

/// Minimum over the current and the previous interval.
#[derive(Debug, Default)]
pub(super) struct TightestTarget {
    present: Option<Duration>,
    previous: Option<Duration>,
    started: MonoTime,
}

impl TightestTarget {
    pub(super) fn note(&mut self, now: MonoTime, target: Option<Duration>) {
        if now.since(self.started) >= MEMORY {
            self.previous = self.present.take();
            self.started = now;
        }
        self.present = min_some(self.present, target);
    }

    pub(super) fn get(&self) -> Option<Duration> {
        min_some(self.present, self.previous)
    }
}

fn min_some(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
