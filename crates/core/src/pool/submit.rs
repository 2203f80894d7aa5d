//! Submission of a request to the pool owner.

use std::time::Duration;

use crate::{
    outcome::NotRunReason,
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{
    Pool, PoolAction,
    request::{LengthClass, Request},
    runner::Runner,
    state::MIN_RETRY_AFTER,
};

/// Minimum time left before the latest start at which a request is admitted.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

impl Pool {
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        out: &mut Vec<PoolAction>,
    ) {
        if self.queues.contains(record.id) || self.active_requests.contains_key(&record.id) {
            return;
        }
        self.counters.submitted += 1;
        let request = self.build_request(now, record);
        self.tightest_target.record(now, request.between_tokens());
        if now + MIN_TIME_LEFT > request.unreachable_at {
            self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            return;
        }
        if let Some(request) = self.admit(now, request, out) {
            self.enqueue(request);
        }
    }

    /// Computes the length class, the deadline and the latest starts of a
    /// request.
    pub(super) fn build_request(&mut self, now: MonoTime, record: RequestRecord) -> Box<Request> {
        let left = record.target.limit().saturating_sub(record.age);
        let (decode_tokens, decode_margin) = self.decode_estimates.predict(&record);
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let deadline = now + left;
        let uncached = self.min_uncached_tokens(&record);
        let length = LengthClass::of(uncached);
        let fastest = self.fastest_time(&record, uncached, decode_tokens);
        let unreachable_at = deadline - fastest;
        // An average runner is assumed to need twice the fastest time. The rank
        // only needs a consistent order.
        let latest_start = unreachable_at - fastest;
        Box::new(Request {
            record,
            length,
            arrival,
            deadline,
            latest_start,
            unreachable_at,
            decode_tokens,
            decode_margin,
            returned_grants: 0,
            deferral: None,
        })
    }

    /// Returns the uncached prompt tokens at the runner with the longest cached
    /// or pending prefix.
    pub(super) fn min_uncached_tokens(&mut self, record: &RequestRecord) -> u32 {
        self.prefixes.look_up(record, &mut self.prefix_hits);
        let cached = self.prefix_hits.iter().map(|hit| hit.expected_tokens).max().unwrap_or(0);
        record.prefill_tokens.saturating_sub(cached)
    }

    /// Returns the time that the fastest runner needs for the request when
    /// idle.
    fn fastest_time(&self, record: &RequestRecord, uncached: u32, decode_tokens: u32) -> Duration {
        let Some(runner) = self.runners.fastest() else { return Duration::ZERO };
        Duration::from_micros(idle_time_us(runner, record, uncached, decode_tokens))
    }
}

fn idle_time_us(runner: &Runner, record: &RequestRecord, uncached: u32, decode_tokens: u32) -> u64 {
    if !runner.spec.engine {
        return runner.rates.service_us();
    }
    let prefill = runner.rates.prefill_us(u64::from(uncached));
    match record.target {
        Target::Stream { .. } => prefill,
        Target::Whole(_) => prefill + runner.rates.between_us(1.0) * u64::from(decode_tokens),
    }
}
