//! Which request is refused, and when it may come again.

use std::time::Duration;

use crate::{
    ids::Tier,
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::UpstreamScheduler;

/// Part of its caller's patience that a request may be expected to wait.
const WAIT_SHARE: f64 = 0.35;

/// Part of its caller's patience after which a request is refused if it still
/// waits: soon enough for the caller to come again, and late enough for what a
/// burst leaves behind.
const HOLD_SHARE: f64 = 0.5;

/// Least time that a caller waits for the next event of a stream, the first one
/// included.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// Times the target to the first event that a caller waits for it.
const FIRST_PATIENCE: u32 = 4;

/// Times the target between two events that a caller waits for one.
const GAP_PATIENCE: u32 = 8;

/// Shortest time after which a refused request may come again: a place is free
/// again within this time under any load.
const MIN_RETRY: Duration = Duration::from_millis(250);

/// Longest time after which a refused request may come again, as part of the
/// time that it has left; callers wait no longer than a third of it.
const RETRY_SHARE: f64 = 0.3;

impl UpstreamScheduler {
    /// Expected time until the requests of this tier and of higher ones that
    /// wait now are started.
    pub(super) fn backlog(&self, tier: Tier) -> Duration {
        let ahead = self.queue.sums().filter(|(of, ..)| *of <= tier);
        let work: f64 = ahead
            .map(|(_, class, count, prompt)| {
                self.expected_us(count as f64, prompt as f64, self.expected_length(class))
            })
            .sum();
        let slots = self.runners.sums().slots.max(1);
        Duration::from_micros((work / f64::from(slots)) as u64)
    }

    /// The time after which a request may come again, if it has to be refused
    /// on its arrival.
    pub(super) fn refuse_at_arrival(
        &self,
        record: &RequestRecord,
        left: Duration,
    ) -> Option<Duration> {
        if self.queue.len() < self.usable_places() {
            return None;
        }
        let wait = self.backlog(record.tier);
        let most = patience(record, left).mul_f64(WAIT_SHARE);
        (wait > most).then(|| self.retry_after(wait, left))
    }

    /// When a refused request may come again.
    pub(super) fn retry_after(&self, wait: Duration, left: Duration) -> Duration {
        wait.min(left.mul_f64(RETRY_SHARE)).max(MIN_RETRY)
    }

    fn usable_places(&self) -> usize {
        self.runners.sums().slots as usize / QUEUE_DIVISOR
    }

    /// When a request that waits is refused.
    pub(super) fn hold_until(now: MonoTime, record: &RequestRecord, left: Duration) -> MonoTime {
        now + patience(record, left).mul_f64(HOLD_SHARE)
    }
}

/// Time from now on for which the caller waits for the start of its answer.
fn patience(record: &RequestRecord, left: Duration) -> Duration {
    let Target::Stream { first_token, between_tokens } = record.target else { return left };
    let gap = (between_tokens * GAP_PATIENCE).max(LEAST_PATIENCE);
    let whole = gap.max(first_token * FIRST_PATIENCE);
    whole.saturating_sub(record.age).min(left)
}

/// A queue shorter than one in so many places is no backlog.
const QUEUE_DIVISOR: usize = 8;
