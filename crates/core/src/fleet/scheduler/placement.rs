//! Selection of a runner for a request.

use std::time::Duration;

use crate::{ids::RunnerName, request::Target, time::MonoTime};

use super::{
    RunnerState, UpstreamScheduler, queue::WaitingRequest, runner::FIXED_FIRST_TOKEN_US,
    runner_index::DECODE_WEIGHT,
};

/// Fraction of the target between tokens that prefilling other prompts may take.
const GAP_FRACTION: f64 = 0.7;

/// Maximum number of engine steps, one token each, between two events of a
/// stream. Prompts prefilled in these steps delay the next event.
const STEPS_PER_EVENT: f64 = 3.0;

/// Whether a prompt may pause other streams of a runner for longer than the
/// request's own target between tokens allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Pauses {
    /// Only runners that keep the target are considered.
    Short,
    /// If there is no such runner, one with few other streams is.
    Any,
}

/// Cost of each stream that a prompt pauses for too long, in microseconds: higher
/// than any difference between runners.
const PAUSED_STREAM_COST_US: f64 = 1e9;

/// Least ratio of the time that a kept beginning saves, beyond the wait for its runner's
/// slot, to that wait: when the slot is free is only estimated.
const WAIT_MARGIN: f64 = 1.0;

/// Result of the search for a runner.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Placement {
    /// This runner, in time for the target.
    InTime(RunnerName),
    /// This runner, but too late for the target.
    Late(RunnerName),
    /// Free runners would be late, but another one could still meet the target.
    Wait,
    /// No runner can take the request now.
    None,
}

impl UpstreamScheduler {
    /// Selects a runner for a request.
    pub(super) fn find_runner(
        &self,
        now: MonoTime,
        waiting: &WaitingRequest,
        pauses: Pauses,
    ) -> Placement {
        let length = waiting.length;
        let record = &waiting.record;
        let kept = self.prompts.holders(&record.prefix, &record.prefix_tokens);
        let kept_at = |name: &RunnerName| kept.get(name).copied().unwrap_or_default();
        let left_us = waiting.deadlines.target_at.since(now).as_micros() as f64;
        let mut best: Option<((bool, bool, f64), &RunnerName)> = None;
        let mut best_first_us = f64::INFINITY;
        let mut in_time_later = false;
        let avoid = waiting.avoid.as_ref();
        let accepts = |runner: &RunnerState| {
            let has_version = waiting.version.is_none() || runner.version == waiting.version;
            has_version
                && !runner.is_resting_for(now, &waiting.record.entry)
                && self.gate_accepts(waiting, runner.version.as_ref())
        };
        let free = || self.runners.free(now, accepts);
        let full = || self.runners.full(now, accepts);
        let candidates = || free().chain(full());
        let avoid = avoid.filter(|avoid| candidates().any(|(name, _)| name != *avoid));
        let holders = || {
            let holders = kept.keys().filter_map(|name| Some((*name, self.runners.get(name)?)));
            holders.filter(|(_, runner)| runner.is_usable(now) && accepts(runner))
        };
        let free_holders = holders().filter(|(_, runner)| runner.has_free_slot(now));
        for (name, runner) in free().chain(free_holders).filter(|(name, _)| Some(*name) != avoid) {
            let kept = kept_at(name);
            let first_us = self.expected_first_token_us(now, runner, waiting, kept);
            let in_time = first_us <= left_us;
            let keeps_targets = self.keeps_stream_targets(runner, waiting, kept);
            if !keeps_targets && pauses == Pauses::Short {
                in_time_later |= in_time;
                continue;
            }
            let decode_us = if self.engine { runner.decode_us() * length } else { 0.0 };
            let paused = if keeps_targets { 0 } else { runner.in_progress() };
            let pause_cost_us = PAUSED_STREAM_COST_US * paused as f64;
            let cost = first_us + DECODE_WEIGHT * decode_us + pause_cost_us;
            best_first_us = best_first_us.min(first_us);
            // A runner that meets the target is preferred to one that does not.
            let is_needed = self.gate_prefers(&waiting.record.class, runner.version.as_ref());
            let rank = (!in_time, !is_needed, cost);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, name));
            }
        }
        let meets_target = |(_, runner): (_, &RunnerState)| {
            self.expected_first_token_us(now, runner, waiting, 0) <= left_us
        };
        // Worth a wait if the beginning of the prompt saves more, and the best free runner
        // would still be in time after it.
        let saves_time = |(name, runner): (&RunnerName, &RunnerState)| {
            let wait_us = runner.time_to_free_slot(now).as_micros() as f64;
            let first_us =
                wait_us + self.expected_first_token_us(now, runner, waiting, kept_at(name));
            let is_safe = wait_us + best_first_us <= left_us;
            is_safe && best_first_us - first_us > WAIT_MARGIN * wait_us
        };
        let mut full_holders = holders().filter(|(_, runner)| runner.is_full());
        match best {
            Some(((false, ..), _)) if full_holders.any(saves_time) => Placement::Wait,
            Some(((false, ..), name)) => Placement::InTime(name.clone()),
            Some((_, name)) if waiting.late => Placement::Late(name.clone()),
            Some(_) if in_time_later || full().any(meets_target) => Placement::Wait,
            Some((_, name)) => Placement::Late(name.clone()),
            None => Placement::None,
        }
    }

    /// Returns the expected time to the first token at a runner that holds `kept` tokens of
    /// the prompt, or to the response of a plain service, in microseconds.
    fn expected_first_token_us(
        &self,
        now: MonoTime,
        runner: &RunnerState,
        waiting: &WaitingRequest,
        kept: u32,
    ) -> f64 {
        let slowdown = runner.slowdown(now);
        if !self.engine {
            return slowdown * runner.service_us() * (1.0 + runner.load());
        }
        let tokens = runner.pending_prompt_tokens + to_prefill(waiting, kept);
        FIXED_FIRST_TOKEN_US + slowdown * runner.prefill_us() * f64::from(tokens)
    }

    /// Returns true if the prompt does not pause the runner's other streams for
    /// longer than the request's own target between tokens allows.
    fn keeps_stream_targets(
        &self,
        runner: &RunnerState,
        waiting: &WaitingRequest,
        kept: u32,
    ) -> bool {
        if !self.engine || runner.in_progress() == 0 {
            return true;
        }
        let Target::Stream { between_tokens, .. } = waiting.record.target else { return true };
        let steps_us = STEPS_PER_EVENT * runner.decode_us();
        let max_pause_us = between_tokens.as_micros() as f64 * GAP_FRACTION - steps_us;
        let max_prefill_us = (STEPS_PER_EVENT * self.chunk_tokens) * runner.prefill_us();
        let tokens = f64::from(runner.pending_prompt_tokens + to_prefill(waiting, kept));
        let pause_us = (tokens * runner.prefill_us()).min(max_prefill_us);
        pause_us <= max_pause_us
    }

    /// Returns the least time to the first token, or to the response of a plain
    /// service, at any usable runner.
    pub(super) fn min_first_token(&self, prompt: u32) -> Duration {
        let totals = self.runners.totals();
        let us = match self.engine {
            true => FIXED_FIRST_TOKEN_US + totals.min_prefill_us * f64::from(prompt),
            false => totals.min_service_us,
        };
        Duration::from_micros(us.min(1e9) as u64)
    }
}

/// Returns the tokens that a runner has to prefill if it holds `kept` of the prompt.
fn to_prefill(waiting: &WaitingRequest, kept: u32) -> u32 {
    waiting.record.prefill_tokens.saturating_sub(kept)
}
