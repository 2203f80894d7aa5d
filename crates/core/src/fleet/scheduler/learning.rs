//! Learns rates and response lengths from the reports of hosts.

use crate::{
    ids::RequestId,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};

use super::{DispatchFailure, RunnerState, UpstreamScheduler, runner::FIXED_FIRST_TOKEN_US};

/// Minimum number of prompt tokens for a sample of the prefill rate.
const MIN_PREFILL_SAMPLE: u32 = 200;

/// Minimum number of generated tokens for a sample of the decode rate.
const MIN_DECODE_SAMPLE: u32 = 6;

/// Maximum sample of a rate, as a multiple of what is known: a longer time was mostly spent
/// waiting at the runner.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

impl UpstreamScheduler {
    /// Records the arrival of a request's first token.
    pub fn first_token(&mut self, now: MonoTime, id: RequestId) {
        let Some(granted) = self.granted.get(&id) else { return };
        let mean_us = self.runners.totals().prefill_us;
        let is_first = self.runners.update(&granted.runner, |runner| {
            let Some(request) = runner.requests.get_mut(&id).filter(|request| !request.prefilled)
            else {
                return false;
            };
            request.prefilled = true;
            let request = *request;
            runner.pending_prompt_tokens -= request.prompt_tokens;
            let tokens = request.prompt_tokens + request.tokens_ahead;
            if tokens >= MIN_PREFILL_SAMPLE {
                let elapsed_us = now.since(request.granted_at).as_micros() as f64;
                let rate = (elapsed_us - FIXED_FIRST_TOKEN_US).max(0.0) / f64::from(tokens);
                let max = MAX_SAMPLE_FACTOR * runner.prefill_us().max(mean_us);
                runner.rates.prefill_us.observe((rate / runner.slowdown(now)).min(max));
            }
            runner.record_success(&granted.record.entry);
            true
        });
        if is_first == Some(true) {
            let record = &granted.record;
            let tokens = u64::from(record.prefill_tokens) + self.lengths.expected(record) as u64;
            self.prompts.read(&granted.runner, &record.prefix, tokens);
        }
        self.reach.record_response(&granted.record.entry);
    }

    /// Records the end of a request at its runner.
    pub fn ended(&mut self, now: MonoTime, id: RequestId, end: DispatchEnd) {
        let Some(granted) = self.granted.remove(&id) else { return };
        let (engine, host) = (self.engine, &granted.record.entry);
        let request = self.runners.update(&granted.runner, |runner| {
            let request = runner.end(id);
            if let DispatchEnd::Complete(usage) = &end {
                runner.record_success(host);
                // The time of a failure says nothing of the runner's speed.
                if !usage.failed {
                    runner.learn(now, engine, usage);
                }
            }
            request
        });
        self.record_rollout_end(now, &granted, request.flatten().as_ref(), &end);
        match end {
            DispatchEnd::Complete(_) => self.reach.record_response(host),
            DispatchEnd::Failed => self.record_failure(now, &granted, DispatchFailure::Broken),
            DispatchEnd::Cancelled => {}
        }
        if let DispatchEnd::Complete(usage) = end
            && engine
            && !usage.failed
        {
            self.lengths.observe(&granted.record, usage.decode_tokens);
        }
    }

    /// Returns the expected total time in an average slot, in microseconds, of
    /// `count` requests with `prompt` tokens and responses of `length` tokens in total.
    pub(super) fn expected_us(&self, count: f64, prompt: f64, length: f64) -> f64 {
        let totals = self.runners.totals();
        match self.engine {
            true => totals.prefill_us * prompt + totals.decode_us * length,
            false => totals.service_us * count,
        }
    }
}

impl RunnerState {
    fn learn(&mut self, now: MonoTime, engine: bool, usage: &Usage) {
        if !engine {
            let usual_us = usage.total.as_micros() as f64 / self.slowdown(now);
            self.rates.service_us.observe(usual_us);
            return;
        }
        if usage.decode_tokens >= MIN_DECODE_SAMPLE {
            let elapsed_us = usage.total.saturating_sub(usage.first_token).as_micros() as f64;
            self.rates.decode_us.observe(elapsed_us / f64::from(usage.decode_tokens - 1));
        }
    }
}
