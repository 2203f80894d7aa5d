//! Which runner takes a request.

use std::time::Duration;

use crate::{ids::RunnerName, request::Target, time::MonoTime};

use super::{
    RunnerState, UpstreamScheduler, queue::Waiting, roster::WHOLE_WEIGHT, runner::FIXED_FIRST_US,
};

/// Share of the target between tokens that prompts of others may take.
const GAP_SHARE: f64 = 0.7;

/// Tokens between two events at the most; a stream stands still for the prompts
/// that are prefilled between two of its events.
const EVENT_STEPS: f64 = 3.0;

/// Where a request can go now.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Place {
    /// This runner, in time for the target.
    InTime(RunnerName),
    /// This runner, too late for the target.
    Late(RunnerName),
    /// This or no runner now, but a busy one could still meet the target.
    Later,
    /// No runner has a place for it.
    None,
}

impl UpstreamScheduler {
    /// Looks for a runner for a request.
    pub(super) fn place(&self, now: MonoTime, waiting: &Waiting) -> Place {
        let length = self.expected_length(&waiting.record.class);
        let left = waiting.times.due.since(now).as_micros() as f64;
        let mut best: Option<(f64, bool, &RunnerName)> = None;
        let mut could_later = false;
        let avoid = waiting.avoid.as_ref();
        let others = || self.runners.free(now).chain(self.runners.full(now));
        let avoid = avoid.filter(|avoid| others().any(|(name, _)| name != *avoid));
        for (name, runner) in self.runners.free(now).filter(|(name, _)| Some(*name) != avoid) {
            let first = self.first_us(runner, waiting);
            let in_time = first <= left;
            if !self.spares_others(runner, waiting) {
                could_later |= in_time;
                continue;
            }
            let whole = if self.engine { runner.decode_us() * length } else { 0.0 };
            let cost = first + WHOLE_WEIGHT * whole;
            // A runner that meets the target goes before one that does not.
            let better =
                best.is_none_or(|(least, was_in_time, _)| (!in_time, cost) < (!was_in_time, least));
            if better {
                best = Some((cost, in_time, name));
            }
        }
        let busy = |(_, runner): (_, &RunnerState)| self.first_us(runner, waiting) <= left;
        match best {
            Some((_, true, name)) => Place::InTime(name.clone()),
            Some((_, false, name)) if waiting.late => Place::Late(name.clone()),
            Some(_) if could_later || self.runners.full(now).any(busy) => Place::Later,
            Some((_, false, name)) => Place::Late(name.clone()),
            None => Place::None,
        }
    }

    /// Expected time to the first token, or to the answer of a plain service.
    fn first_us(&self, runner: &RunnerState, waiting: &Waiting) -> f64 {
        if !self.engine {
            return runner.service_us() * (1.0 + runner.load());
        }
        let tokens = runner.pending_prompt + waiting.record.prefill_tokens;
        FIXED_FIRST_US + runner.prefill_us() * f64::from(tokens)
    }

    /// True if the prompt leaves the streams at the runner on time.
    fn spares_others(&self, runner: &RunnerState, waiting: &Waiting) -> bool {
        if !self.engine || runner.in_progress() == 0 {
            return true;
        }
        let Target::Stream { between_tokens, .. } = waiting.record.target else { return true };
        let steps = EVENT_STEPS * runner.decode_us();
        let room = between_tokens.as_micros() as f64 * GAP_SHARE - steps;
        let most = (EVENT_STEPS * self.chunk_tokens) * runner.prefill_us();
        let tokens = f64::from(runner.pending_prompt + waiting.record.prefill_tokens);
        let stop = (tokens * runner.prefill_us()).min(most);
        stop <= room
    }

    /// Least time to the first token at any runner that is usable.
    pub(super) fn least_first(&self, prompt: u32) -> Duration {
        let sums = self.runners.sums();
        let us = match self.engine {
            true => FIXED_FIRST_US + sums.least_prefill_us * f64::from(prompt),
            false => sums.least_service_us,
        };
        Duration::from_micros(us.min(1e9) as u64)
    }
}
