//! Which runner takes a request.

use std::time::Duration;

use crate::{ids::RunnerName, request::Target, time::MonoTime};

use super::{Ranking, RunnerState, queue::Waiting, runner::FIXED_FIRST_US};

/// Share of the target between tokens that prompts of others may take.
const GAP_SHARE: f64 = 0.7;

/// Tokens between two events at the most; a stream stands still for the prompts
/// that are prefilled between two of its events.
const EVENT_STEPS: f64 = 3.0;

/// Weight of the time that a request keeps its place, against the time to its
/// start: a place that is free again sooner serves the next request.
const WHOLE_WEIGHT: f64 = 0.1;

/// Where a request can go now.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Place {
    /// This runner, in time for the target.
    InTime(RunnerName),
    /// This runner, too late for the target.
    Late(RunnerName),
    /// No runner now, but one that is busy could still meet the target.
    Later,
    /// No runner has a place.
    None,
}

impl Ranking {
    /// Looks for a runner for a request.
    pub(super) fn place(&self, now: MonoTime, waiting: &Waiting) -> Place {
        let length = self.expected_length(&waiting.record.class);
        let left = waiting.times.due.since(now).as_micros() as f64;
        let mut best: Option<(f64, bool, &RunnerName)> = None;
        let mut could_later = false;
        let others = self
            .runners
            .iter()
            .any(|(name, runner)| runner.is_usable(now) && waiting.avoid.as_ref() != Some(name));
        let avoid = waiting.avoid.as_ref().filter(|_| others);
        for (name, runner) in self.runners.iter().filter(|(name, _)| Some(*name) != avoid) {
            let first = self.first_us(runner, waiting);
            let in_time = first <= left;
            if !runner.has_place(now) || !self.spares_others(runner, waiting) {
                could_later |= in_time && runner.is_usable(now);
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
        match best {
            Some((_, true, name)) => Place::InTime(name.clone()),
            Some((_, false, _)) if could_later && !waiting.late => Place::Later,
            Some((_, false, name)) => Place::Late(name.clone()),
            None if could_later => Place::Later,
            None => Place::None,
        }
    }

    /// Expected time to the first token, or to the answer of a plain service.
    fn first_us(&self, runner: &RunnerState, waiting: &Waiting) -> f64 {
        if !self.engine {
            let load = runner.in_progress() as f64 / f64::from(runner.places.max(1));
            return runner.service_us() * (1.0 + load);
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
    pub(super) fn least_first(&self, now: MonoTime, prompt: u32) -> Duration {
        let usable = self.runners.values().filter(|runner| runner.is_usable(now));
        let us = usable.map(|runner| match self.engine {
            true => FIXED_FIRST_US + runner.prefill_us() * f64::from(prompt),
            false => runner.service_us(),
        });
        Duration::from_micros(us.fold(f64::INFINITY, f64::min).min(1e9) as u64)
    }
}
