//! Rate at which the work of a queue is granted.

use std::time::Duration;

use crate::time::MonoTime;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Minimum observation time before the rate is used.
const MIN_OBSERVATION: Duration = Duration::from_secs(2);

/// Work granted per second, as an average with exponential decay.
#[derive(Debug, Default)]
pub(super) struct GrantRate {
    decayed_work: f64,
    observed_since: Option<MonoTime>,
    last_update: MonoTime,
}

impl GrantRate {
    pub(super) fn add(&mut self, now: MonoTime, work: u64) {
        self.decay(now);
        self.decayed_work += work as f64;
    }

    /// Returns the expected time to grant `work`, or `None` if `work` is zero
    /// or the rate is not known yet.
    pub(super) fn time_to_grant(&mut self, now: MonoTime, work: u64) -> Option<Duration> {
        self.decay(now);
        if now.since(self.observed_since?) < MIN_OBSERVATION || work == 0 {
            return None;
        }
        let rate = (self.decayed_work / TIME_CONSTANT.as_secs_f64()).max(1.0);
        Some(Duration::from_secs_f64((work as f64 / rate).min(1e6)))
    }

    fn decay(&mut self, now: MonoTime) {
        self.observed_since.get_or_insert(now);
        let elapsed = now.since(self.last_update).as_secs_f64();
        self.decayed_work *= (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.last_update = now;
    }
}
