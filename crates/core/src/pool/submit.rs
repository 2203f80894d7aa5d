//! Arrival of a request at the pool owner.

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

/// Shortest time left with which a request is admitted.
const MIN_LEFT: Duration = Duration::from_millis(1);

impl Pool {
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        out: &mut Vec<PoolAction>,
    ) {
        if self.queues.contains(record.id) || self.flights.contains_key(&record.id) {
            return;
        }
        self.counters.submitted += 1;
        let request = self.request(now, record);
        self.tightest.note(now, request.between_tokens());
        if now + MIN_LEFT > request.unreachable_at {
            self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            return;
        }
        if let Some(request) = self.admit(now, request, out) {
            self.enqueue(request);
        }
    }

    /// Works out how long a request may wait.
    pub(super) fn request(&mut self, now: MonoTime, record: RequestRecord) -> Box<Request> {
        let left = record.target.limit().saturating_sub(record.age);
        let (decode_tokens, decode_margin) = self.decode.expect(&record);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let deadline = now + left;
        let uncached = self.least_uncached(&record);
        let length = LengthClass::of(uncached);
        let fastest = self.fastest_time(&record, uncached, decode_tokens);
        let unreachable_at = deadline - fastest;
        // Twice the fastest time stands for an average runner; the rank needs
        // no more than a consistent order.
        let latest_start = unreachable_at - fastest;
        Box::new(Request {
            record,
            length,
            sequence,
            deadline,
            latest_start,
            unreachable_at,
            decode_tokens,
            decode_margin,
            returned_grants: 0,
            hold: None,
        })
    }

    /// Prompt tokens that are not cached at the runner with the longest prefix.
    pub(super) fn least_uncached(&mut self, record: &RequestRecord) -> u32 {
        self.prefixes.lookup(record, &mut self.hits);
        let cached = self.hits.iter().map(|hit| hit.coming).max().unwrap_or(0);
        record.prefill_tokens.saturating_sub(cached)
    }

    /// Time that the fastest runner needs to meet the target when it is idle.
    fn fastest_time(&self, record: &RequestRecord, uncached: u32, decode_tokens: u32) -> Duration {
        let Some(runner) = self.runners.fastest() else { return Duration::ZERO };
        Duration::from_micros(time_on(runner, record, uncached, decode_tokens))
    }
}

fn time_on(runner: &Runner, record: &RequestRecord, uncached: u32, decode_tokens: u32) -> u64 {
    if !runner.spec.engine {
        return runner.rates.service_us();
    }
    let prefill = runner.rates.prefill_us(u64::from(uncached));
    match record.target {
        Target::Stream { .. } => prefill,
        Target::Whole(_) => prefill + runner.rates.between_us(1.0) * u64::from(decode_tokens),
    }
}
