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

/// Generated tokens assumed before the first response of a class.
const DEFAULT_RESPONSE_TOKENS: f64 = 100.0;

/// Maximum number of classes whose response lengths are learned.
const MAX_CLASSES: usize = 1_024;

impl UpstreamScheduler {
    /// Records the arrival of a request's first token.
    pub fn first_token(&mut self, now: MonoTime, id: RequestId) {
        let Some(granted) = self.granted.get(&id) else { return };
        self.runners.update(&granted.runner, |runner| {
            let Some(request) = runner.requests.get_mut(&id).filter(|request| !request.prefilled)
            else {
                return;
            };
            request.prefilled = true;
            let request = *request;
            runner.pending_prompt_tokens -= request.prompt_tokens;
            let tokens = request.prompt_tokens + request.tokens_ahead;
            if tokens >= MIN_PREFILL_SAMPLE {
                let elapsed_us = now.since(request.granted_at).as_micros() as f64;
                let rate = (elapsed_us - FIXED_FIRST_TOKEN_US).max(0.0) / f64::from(tokens);
                runner.rates.prefill_us.observe(rate);
            }
            runner.record_success(&granted.record.entry);
        });
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
                    runner.learn(engine, usage);
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
            && (self.response_lengths.len() < MAX_CLASSES
                || self.response_lengths.contains_key(&granted.record.class))
        {
            let length = self.response_lengths.entry(granted.record.class).or_default();
            length.observe(f64::from(usage.decode_tokens));
        }
    }

    /// Returns the expected number of generated tokens in a response of a class.
    pub(super) fn expected_response_tokens(&self, class: &crate::ids::ClassName) -> f64 {
        self.response_lengths
            .get(class)
            .and_then(|length| length.get())
            .unwrap_or(DEFAULT_RESPONSE_TOKENS)
    }

    /// Returns the expected total time in an average slot, in microseconds, of
    /// `count` requests with `prompt` tokens in total and responses of `length`
    /// tokens each.
    pub(super) fn expected_us(&self, count: f64, prompt: f64, length: f64) -> f64 {
        let totals = self.runners.totals();
        match self.engine {
            true => totals.prefill_us * prompt + totals.decode_us * length * count,
            false => totals.service_us * count,
        }
    }
}

impl RunnerState {
    fn learn(&mut self, engine: bool, usage: &Usage) {
        if !engine {
            self.rates.service_us.observe(usage.total.as_micros() as f64);
            return;
        }
        if usage.decode_tokens >= MIN_DECODE_SAMPLE {
            let elapsed_us = usage.total.saturating_sub(usage.first_token).as_micros() as f64;
            self.rates.decode_us.observe(elapsed_us / f64::from(usage.decode_tokens - 1));
        }
    }
}
