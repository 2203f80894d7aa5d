//! What reports of hosts teach.

use std::time::Duration;

use crate::{
    ids::{RequestId, RunnerName},
    request::{DispatchEnd, Usage},
    time::MonoTime,
};

use super::{Failure, Ranking, runner::FIXED_FIRST_US};

/// Fewest prompt tokens from which a prefill rate is learned.
const MIN_PREFILL_SAMPLE: u32 = 200;

/// Fewest generated tokens from which a rate is learned.
const MIN_DECODE_SAMPLE: u32 = 6;

/// Generated tokens assumed before an answer of the class was seen.
const DEFAULT_LENGTH: f64 = 100.0;

/// Most classes whose lengths are learned.
const MAX_CLASSES: usize = 1_024;

impl Ranking {
    /// The first token of a request arrived.
    pub fn first_token(&mut self, now: MonoTime, id: RequestId) {
        let Some(runner) = self.flights.get(&id).and_then(|f| self.runners.get_mut(&f.runner))
        else {
            return;
        };
        let Some(flight) = runner.flights.get_mut(&id).filter(|flight| !flight.answering) else {
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
    }

    /// A request is over at its runner.
    pub fn ended(&mut self, now: MonoTime, id: RequestId, end: DispatchEnd) {
        let Some(granted) = self.flights.remove(&id) else { return };
        if let Some(runner) = self.runners.get_mut(&granted.runner) {
            runner.end(id);
            match end {
                DispatchEnd::Complete(_) => runner.succeed(),
                DispatchEnd::Failed => runner.fail(now, Failure::Broken),
                DispatchEnd::Cancelled => {}
            }
        }
        if let DispatchEnd::Complete(usage) = end {
            self.learn(&granted.runner, &usage);
            if self.engine
                && (self.lengths.len() < MAX_CLASSES
                    || self.lengths.contains_key(&granted.record.class))
            {
                let length = self.lengths.entry(granted.record.class).or_default();
                length.observe(f64::from(usage.decode_tokens));
            }
        }
    }

    fn learn(&mut self, name: &RunnerName, usage: &Usage) {
        let Some(runner) = self.runners.get_mut(name) else { return };
        if !self.engine {
            runner.rates.service_us.observe(usage.total.as_micros() as f64);
            return;
        }
        if usage.decode_tokens >= MIN_DECODE_SAMPLE {
            let took = usage.total.saturating_sub(usage.first_token).as_micros() as f64;
            runner.rates.decode_us.observe(took / f64::from(usage.decode_tokens - 1));
        }
    }

    /// Expected generated tokens of a class.
    pub(super) fn expected_length(&self, class: &crate::ids::ClassName) -> f64 {
        self.lengths.get(class).and_then(|length| length.get()).unwrap_or(DEFAULT_LENGTH)
    }

    /// Expected time at an average runner from start to end.
    pub(super) fn expected_time(&self, prompt: u32, length: f64) -> Duration {
        let usable = self.runners.values().filter(|runner| !runner.leaving);
        let (mut places, mut speed) = (0.0, 0.0);
        for runner in usable {
            let us = match self.engine {
                true => runner.prefill_us() * f64::from(prompt) + runner.decode_us() * length,
                false => runner.service_us(),
            };
            places += f64::from(runner.places);
            speed += f64::from(runner.places) / us.max(1.0);
        }
        if speed <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_micros((places / speed) as u64)
    }
}
