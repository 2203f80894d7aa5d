//! Which request is refused, and when it may come again.

use std::time::Duration;

use crate::{ids::Tier, time::MonoTime};

use super::Ranking;

/// Part of a request's time that it may be expected to wait.
const WAIT_SHARE: f64 = 0.3;

/// Part of a request's time after which it is refused if it still waits. What
/// is left is enough to come again.
pub(super) const HOLD_SHARE: f64 = 0.4;

/// Shortest time after which a refused request may come again: a place is free
/// again within this time under any load.
const MIN_RETRY: Duration = Duration::from_millis(250);

/// Longest time after which a refused request may come again, as part of the
/// time that it has left; callers wait no longer than a third of it.
const RETRY_SHARE: f64 = 0.3;

impl Ranking {
    /// Expected time until the requests of this tier and of higher ones that
    /// wait now are started.
    pub(super) fn backlog(&self, tier: Tier) -> Duration {
        let ahead = self.queue.iter().filter(|(_, waiting)| waiting.record.tier <= tier);
        let work: f64 = ahead
            .map(|(_, waiting)| {
                let length = self.expected_length(&waiting.record.class);
                self.expected_time(waiting.record.prefill_tokens, length).as_secs_f64()
            })
            .sum();
        let places: u32 =
            self.runners.values().filter(|runner| !runner.leaving).map(|r| r.places).sum();
        Duration::from_secs_f64(work / f64::from(places.max(1)))
    }

    /// The time after which a request may come again, if it has to be refused
    /// on its arrival.
    pub(super) fn refuse_at_arrival(&self, tier: Tier, left: Duration) -> Option<Duration> {
        if self.queue.len() < self.usable_places() {
            return None;
        }
        let wait = self.backlog(tier);
        (wait > left.mul_f64(WAIT_SHARE)).then(|| self.retry_after(wait, left))
    }

    /// When a refused request may come again.
    pub(super) fn retry_after(&self, wait: Duration, left: Duration) -> Duration {
        wait.min(left.mul_f64(RETRY_SHARE)).max(MIN_RETRY)
    }

    fn usable_places(&self) -> usize {
        let usable = self.runners.values().filter(|runner| !runner.leaving);
        usable.map(|runner| runner.places as usize).sum::<usize>() / QUEUE_DIVISOR
    }

    /// When a request that waits is refused.
    pub(super) fn hold_until(now: MonoTime, left: Duration) -> MonoTime {
        now + left.mul_f64(HOLD_SHARE)
    }
}

/// A queue shorter than one in so many places is no backlog.
const QUEUE_DIVISOR: usize = 8;
