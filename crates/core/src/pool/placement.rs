//! Choice of the runner for a request, by one estimated cost in time.
//!
//! ```text
//! cost = wait + weight * (prefill_tokens - cached_tokens) * prefill_time_per_token
//!             + decode_tokens * excess_time_between_tokens
//!             + load_share * full_load_cost
//! ```
//!
//! The weight is above one because prefill also delays the requests behind it,
//! while waiting does not.
//!
//! All terms are in microseconds. The load share is the share of the sequence
//! limit in use. The excess is the amount by which the expected time between
//! tokens on that runner exceeds the target. If the target is for the whole
//! response, it is the amount above what half of the remaining time allows.
//!
//! The cost of a plain service is its expected response time, increased by the
//! load share, plus the last term.

use std::time::Duration;

use crate::time::MonoTime;

use super::{
    prefix::PrefixHit,
    request::{LengthClass, Request},
    runner::{Runner, RunnerIx, TierGroup},
    table::RunnerTable,
};

/// Runners that are compared in addition to those that cache a prefix.
const MAX_CANDIDATES: usize = 16;

/// Weight of prefill time relative to waiting time.
const PREFILL_WEIGHT: u32 = 2;

/// Additional cost of a full runner over an idle one, in microseconds.
const FULL_LOAD_COST_US: f64 = 50_000.0;

/// A runner with its expected times for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) runner: RunnerIx,
    /// Expected wait before the prefill.
    pub(super) wait: Duration,
    /// Estimated cost by which runners are compared.
    pub(super) cost: Duration,
    /// Expected time to the first token.
    pub(super) first_token: Duration,
    /// Expected time to the event that the target limits: the first token, or
    /// the end of the response.
    pub(super) time_to_target: Duration,
    /// Prompt tokens that are probably not cached.
    pub(super) uncached: u32,
}

/// The best placements of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placements {
    /// The best runner with capacity.
    pub(super) with_capacity: Option<Placement>,
    /// The best usable runner that caches a prefix or will do so after its
    /// pending prefills, with the wait for a sequence slot added.
    pub(super) with_prefix: Option<Placement>,
}

/// Compares the runners that have capacity, and those that cache a prefix.
pub(super) fn best_placements(
    now: MonoTime,
    runners: &RunnerTable,
    request: &Request,
    group: TierGroup,
    hits: &[PrefixHit],
) -> Placements {
    let with_capacity = runners.with_capacity(group, request.length).take(MAX_CANDIDATES);
    let candidates = with_capacity.chain(hits.iter().map(|hit| hit.runner));
    let placements = candidates.filter_map(|ix| {
        let runner = runners.get(ix)?;
        let placement = estimate_placement(now, ix, runner, request, cached_tokens(hits, ix));
        let length = LengthClass::of(placement.uncached);
        let has_capacity =
            runner.has_capacity(now, group, length) && runners.permits(group, length);
        has_capacity.then_some(placement)
    });
    let with_capacity = placements.min_by_key(|p| (p.cost, p.runner));
    let prefix_placements = hits.iter().filter_map(|hit| {
        let runner = runners.get(hit.runner).filter(|runner| runner.is_usable(now))?;
        let mut placement =
            estimate_placement(now, hit.runner, runner, request, hit.expected_tokens);
        let slot_delay = slot_wait(runner, request, group);
        placement.wait += slot_delay;
        placement.cost += slot_delay;
        placement.first_token += slot_delay;
        placement.time_to_target += slot_delay;
        Some(placement)
    });
    let with_prefix = prefix_placements.min_by_key(|p| (p.cost, p.runner));
    Placements { with_capacity, with_prefix }
}

/// Returns the expected time until a sequence slot is free.
fn slot_wait(runner: &Runner, request: &Request, group: TierGroup) -> Duration {
    if runner.has_slot(group) {
        return Duration::ZERO;
    }
    let between = runner.rates.between_us(f64::from(runner.load()));
    let decode = between * u64::from(request.decode_tokens);
    Duration::from_micros(decode / u64::from(runner.load().max(1)))
}

/// Estimates the times and the cost of a request at one runner.
fn estimate_placement(
    now: MonoTime,
    ix: RunnerIx,
    runner: &Runner,
    request: &Request,
    cached: u32,
) -> Placement {
    let load_share = f64::from(runner.load()) / f64::from(runner.limits.sequences().max(1));
    let load_cost = Duration::from_micros((load_share * FULL_LOAD_COST_US) as u64);
    if !runner.spec.engine {
        let time_to_target = Duration::from_micros(runner.rates.service_us());
        let cost = time_to_target.mul_f64(1.0 + load_share) + load_cost;
        return Placement {
            runner: ix,
            wait: Duration::ZERO,
            cost,
            first_token: time_to_target,
            time_to_target,
            uncached: 0,
        };
    }
    let uncached = request.record.prefill_tokens.saturating_sub(cached);
    let prefill = Duration::from_micros(runner.rates.prefill_us(u64::from(uncached)));
    let between = runner.rates.between_us(f64::from(runner.load()) + 1.0);
    let allowed = allowed_between_us(now, request);
    let excess = between.saturating_sub(allowed);
    let decode = Duration::from_micros(excess * u64::from(request.decode_tokens));
    let wait = runner.prefill_wait(now);
    let rest = Duration::from_micros(between * u64::from(request.target_decode_tokens()));
    Placement {
        runner: ix,
        wait,
        cost: wait + prefill * PREFILL_WEIGHT + decode + load_cost,
        first_token: wait + prefill,
        time_to_target: wait + prefill + rest,
        uncached,
    }
}

/// Returns the longest time between tokens that still meets the target. For a
/// whole response, half of the remaining time is allotted to its tokens.
fn allowed_between_us(now: MonoTime, request: &Request) -> u64 {
    let between = request.between_tokens();
    let left = || request.deadline.since(now) / 2 / request.decode_tokens.max(1);
    between.unwrap_or_else(left).as_micros() as u64
}

fn cached_tokens(hits: &[PrefixHit], ix: RunnerIx) -> u32 {
    hits.iter().find(|hit| hit.runner == ix).map_or(0, |hit| hit.cached_tokens)
}
