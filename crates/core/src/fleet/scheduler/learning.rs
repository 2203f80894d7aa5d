//! What reports of hosts teach.

use crate::{
    ids::RequestId,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};

use super::{DispatchFailure, RunnerState, UpstreamScheduler, runner::FIXED_FIRST_US};

/// Fewest prompt tokens from which a prefill rate is learned.
const MIN_PREFILL_SAMPLE: u32 = 200;

/// Fewest generated tokens from which a rate is learned.
const MIN_DECODE_SAMPLE: u32 = 6;

/// Generated tokens assumed before an answer of the class was seen.
const DEFAULT_LENGTH: f64 = 100.0;

/// Most classes whose lengths are learned.
const MAX_CLASSES: usize = 1_024;

impl UpstreamScheduler {
    /// The first token of a request arrived.
    pub fn first_token(&mut self, now: MonoTime, id: RequestId) {
        let Some(granted) = self.flights.get(&id) else { return };
        self.runners.change(&granted.runner, |runner| {
            let Some(flight) = runner.flights.get_mut(&id).filter(|flight| !flight.answering)
            else {
                return;
            };
            flight.answering = true;
            let flight = *flight;
            runner.pending_prompt -= flight.prompt;
            let tokens = flight.prompt + flight.ahead;
            if tokens >= MIN_PREFILL_SAMPLE {
                let took = now.since(flight.granted).as_micros() as f64;
                let rate = (took - FIXED_FIRST_US).max(0.0) / f64::from(tokens);
                runner.rates.prefill_us.observe(rate);
            }
            runner.succeed();
        });
    }

    /// A request is over at its runner.
    pub fn ended(&mut self, now: MonoTime, id: RequestId, end: DispatchEnd) {
        let Some(granted) = self.flights.remove(&id) else { return };
        let engine = self.engine;
        self.runners.change(&granted.runner, |runner| {
            runner.end(id);
            match &end {
                DispatchEnd::Complete(usage) => {
                    runner.succeed();
                    runner.learn(engine, usage);
                }
                DispatchEnd::Failed => runner.fail(now, DispatchFailure::Broken),
                DispatchEnd::Cancelled => {}
            }
        });
        if let DispatchEnd::Complete(usage) = end
            && engine
            && (self.lengths.len() < MAX_CLASSES
                || self.lengths.contains_key(&granted.record.class))
        {
            let length = self.lengths.entry(granted.record.class).or_default();
            length.observe(f64::from(usage.decode_tokens));
        }
    }

    /// Expected generated tokens of a class.
    pub(super) fn expected_length(&self, class: &crate::ids::ClassName) -> f64 {
        self.lengths.get(class).and_then(|length| length.get()).unwrap_or(DEFAULT_LENGTH)
    }

    /// Expected time at an average place from start to end, in microseconds, of
    /// `count` requests with `prompt` tokens together and answers of `length`
    /// tokens each.
    pub(super) fn expected_us(&self, count: f64, prompt: f64, length: f64) -> f64 {
        let sums = self.runners.sums();
        match self.engine {
            true => sums.prefill_us * prompt + sums.decode_us * length * count,
            false => sums.service_us * count,
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
            let took = usage.total.saturating_sub(usage.first_token).as_micros() as f64;
            self.rates.decode_us.observe(took / f64::from(usage.decode_tokens - 1));
        }
    }
}
