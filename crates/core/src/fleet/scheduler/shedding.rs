//! Load shedding: which requests are refused, and when their callers may try
//! again.

use std::time::Duration;

use crate::{
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{UpstreamScheduler, queue::Rank};

/// Maximum expected wait of a request on arrival, as a fraction of its caller's
/// timeout.
const MAX_EXPECTED_WAIT_FRACTION: f64 = 0.35;

/// Maximum time that a request waits before it is refused, as a fraction of its
/// caller's timeout: short enough for the caller to retry, long enough to work
/// off the backlog of a burst.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.5;

/// Minimum time that a caller waits for the next event of a stream, including
/// the first.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a caller waits for the first event, as a multiple of its target.
const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 4;

/// Time that a caller waits between two events, as a multiple of their target.
const GAP_TIMEOUT_FACTOR: u32 = 8;

/// Minimum time after which the caller of a refused request may try again: under
/// any load a slot is released within this time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Maximum time after which the caller of a refused request may try again, as a
/// fraction of the request's remaining time: callers wait no longer than a third
/// of it.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

impl UpstreamScheduler {
    /// Returns the expected time until all waiting requests of this rank and of
    /// higher ones are started.
    pub(super) fn backlog(&self, rank: Rank) -> Duration {
        let ahead = self.queue.totals().filter(|(of, ..)| *of <= rank);
        let work: f64 = ahead
            .map(|(_, waiting)| {
                let prompt = waiting.prompt_tokens as f64;
                self.expected_us(waiting.requests as f64, prompt, waiting.response_tokens)
            })
            .sum();
        Duration::from_micros((work / self.total_slots()) as u64)
    }

    /// Returns the time after which the caller may try again if a request has to be
    /// refused on arrival, or `None` if it can be queued.
    pub(super) fn shed_on_arrival(
        &mut self,
        now: MonoTime,
        record: &RequestRecord,
        over_share: bool,
        left: Duration,
    ) -> Option<Duration> {
        if self.queue.len() < self.backlog_threshold() || self.is_kept_by_floor(now, record) {
            return None;
        }
        let rank = (record.tier, over_share);
        let wait = self.backlog(rank);
        let max_wait = caller_timeout(record, left).mul_f64(MAX_EXPECTED_WAIT_FRACTION);
        (wait > max_wait).then(|| self.retry_after(now, record, rank, wait, left))
    }

    /// Returns the time after which the caller of a refused request may try again.
    /// `wait` is the expected time until the waiting requests of its rank are started.
    pub(super) fn retry_after(
        &mut self,
        now: MonoTime,
        record: &RequestRecord,
        rank: Rank,
        wait: Duration,
        left: Duration,
    ) -> Duration {
        let length = self.lengths.expected(record);
        let work_us = self.expected_us(1.0, f64::from(record.prefill_tokens), length);
        let work = Duration::from_micros((work_us / self.total_slots()) as u64);
        let max = left.mul_f64(MAX_RETRY_AFTER_FRACTION);
        self.returns.next(now, rank, wait, work, max).max(MIN_RETRY_AFTER)
    }

    /// Returns the slots of all runners, or one if there are none.
    pub(super) fn total_slots(&self) -> f64 {
        match self.runners.totals().slots {
            0.0 => 1.0,
            slots => slots.max(MIN_SLOTS),
        }
    }

    fn backlog_threshold(&self) -> usize {
        self.runners.totals().slots as usize / BACKLOG_DIVISOR
    }

    /// Returns when a waiting request is refused.
    pub(super) fn refusal_time(now: MonoTime, record: &RequestRecord, left: Duration) -> MonoTime {
        now + caller_timeout(record, left).mul_f64(MAX_QUEUE_TIME_FRACTION)
    }
}

/// Returns the time from now on for which the caller waits for the start of the
/// response.
fn caller_timeout(record: &RequestRecord, left: Duration) -> Duration {
    let Target::Stream { first_token, between_tokens } = record.target else { return left };
    let gap = (between_tokens * GAP_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT);
    let timeout = gap.max(first_token * FIRST_EVENT_TIMEOUT_FACTOR);
    timeout.saturating_sub(record.age).min(left)
}

/// Lower bound on the slots that the rate limits of all runners leave.
const MIN_SLOTS: f64 = 0.01;

/// A queue shorter than the slots divided by this is no backlog.
const BACKLOG_DIVISOR: usize = 8;
