//! Rate at which the work of a queue is granted.

use std::time::Duration;

use crate::time::MonoTime;

/// Time constant of the exponential decay.
const MEMORY: Duration = Duration::from_secs(3);

/// Minimum observation time before the rate is used.
const MIN_OBSERVATION: Duration = Duration::from_secs(2);

/// Work granted per second, as an average with exponential decay.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    decayed_work: f64,
    started: Option<MonoTime>,
    updated: MonoTime,
}

impl DrainRate {
    pub(super) fn add(&mut self, now: MonoTime, work: u64) {
        self.decay(now);
        self.decayed_work += work as f64;
    }

    /// Returns the expected time to grant `work`, or `None` if `work` is zero
    /// or the rate is not known yet.
    pub(super) fn time_for(&mut self, now: MonoTime, work: u64) -> Option<Duration> {
        self.decay(now);
        if now.since(self.started?) < MIN_OBSERVATION || work == 0 {
            return None;
        }
        let rate = (self.decayed_work / MEMORY.as_secs_f64()).max(1.0);
        Some(Duration::from_secs_f64((work as f64 / rate).min(1e6)))
    }

    fn decay(&mut self, now: MonoTime) {
        self.started.get_or_insert(now);
        let passed = now.since(self.updated).as_secs_f64();
        self.decayed_work *= (-passed / MEMORY.as_secs_f64()).exp();
        self.updated = now;
    }
}
