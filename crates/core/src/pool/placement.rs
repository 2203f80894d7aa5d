//! Choice of the runner for a request, by one formula in time.
//!
//! ```text
//! cost = wait + weight * (prefill_tokens - cached_tokens) * prefill_time_per_token
//!             + decode_tokens * excess_time_between_tokens
//!             + share of the sequence limit in use * crowding time
//! ```
//!
//! The weight is above one because prefill delays the requests behind it as
//! well, and waiting does not.
//!
//! All terms are in microseconds. The excess is the expected time between
//! tokens on that runner beyond the target; for a class with a target for the
//! whole answer, beyond what half of the time left allows.

use std::time::Duration;

use crate::time::MonoTime;

use super::{
    prefix::PrefixHit,
    request::{LengthClass, Request},
    runner::{Access, Runner, RunnerIx},
    table::RunnerTable,
};

/// Runners that are compared besides those that hold a prefix.
const CANDIDATES: usize = 16;

/// Weight of prefill against waiting.
const PREFILL_WEIGHT: u32 = 2;

/// Time that a full runner costs more than an idle one.
const FULL_RUNNER_US: f64 = 50_000.0;

/// A runner with its expected times for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) runner: RunnerIx,
    /// Expected wait before the prefill.
    pub(super) wait: Duration,
    /// Cost by which runners are compared.
    pub(super) cost: Duration,
    /// Expected time to the first token.
    pub(super) first: Duration,
    /// Expected time until the request's target is met.
    pub(super) expected: Duration,
    /// Prompt tokens that are probably not cached.
    pub(super) uncached: u32,
}

/// Where a request can go.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// The best runner that has room.
    pub(super) open: Option<Placement>,
    /// The best runner that has no room, but holds a prefix or will hold it.
    pub(super) held: Option<Placement>,
}

/// Compares the runners that have room, and those that hold a prefix.
pub(super) fn choose(
    now: MonoTime,
    runners: &RunnerTable,
    request: &Request,
    access: Access,
    hits: &[PrefixHit],
) -> Choice {
    let open = runners.open(access, request.length).take(CANDIDATES);
    let candidates = open.chain(hits.iter().map(|hit| hit.runner));
    let placements = candidates.filter_map(|ix| {
        let runner = runners.get(ix)?;
        let placement = estimate(now, ix, runner, request, cached(hits, ix));
        let length = LengthClass::of(placement.uncached);
        let room = runner.has_room(now, access, length) && runners.admits(access, length);
        room.then_some(placement)
    });
    let open = placements.min_by_key(|p| (p.cost, p.runner));
    let later = hits.iter().filter_map(|hit| {
        let runner = runners.get(hit.runner).filter(|runner| runner.is_usable(now))?;
        let mut placement = estimate(now, hit.runner, runner, request, hit.coming);
        let slot = slot_wait(runner, request, access);
        placement.wait += slot;
        placement.cost += slot;
        placement.first += slot;
        placement.expected += slot;
        Some(placement)
    });
    let held = later.min_by_key(|p| (p.cost, p.runner));
    Choice { open, held }
}

/// Expected time until a sequence slot is free.
fn slot_wait(runner: &Runner, request: &Request, access: Access) -> Duration {
    if runner.has_slot(access) {
        return Duration::ZERO;
    }
    let between = runner.rates.between_us(f64::from(runner.load()));
    let decode = between * u64::from(request.decode_tokens);
    Duration::from_micros(decode / u64::from(runner.load().max(1)))
}

/// Expected times of a request at one runner.
fn estimate(
    now: MonoTime,
    ix: RunnerIx,
    runner: &Runner,
    request: &Request,
    cached: u32,
) -> Placement {
    let share = f64::from(runner.load()) / f64::from(runner.limit.sequences().max(1));
    let crowding = Duration::from_micros((share * FULL_RUNNER_US) as u64);
    if !runner.spec.engine {
        let expected = Duration::from_micros(runner.rates.service_us());
        let cost = expected.mul_f64(1.0 + share) + crowding;
        return Placement {
            runner: ix,
            wait: Duration::ZERO,
            cost,
            first: expected,
            expected,
            uncached: 0,
        };
    }
    let uncached = request.record.prefill_tokens.saturating_sub(cached);
    let prefill = Duration::from_micros(runner.rates.prefill_us(u64::from(uncached)));
    let between = runner.rates.between_us(f64::from(runner.load()) + 1.0);
    let allowed = allowed_between_us(now, request);
    let excess = between.saturating_sub(allowed);
    let decode = Duration::from_micros(excess * u64::from(request.decode_tokens));
    let wait = runner.wait(now);
    let rest = Duration::from_micros(between * u64::from(request.target_decode_tokens()));
    Placement {
        runner: ix,
        wait,
        cost: wait + prefill * PREFILL_WEIGHT + decode + crowding,
        first: wait + prefill,
        expected: wait + prefill + rest,
        uncached,
    }
}

/// Longest time between tokens that still meets the target. Half of the time
/// left is planned for a whole answer's tokens.
fn allowed_between_us(now: MonoTime, request: &Request) -> u64 {
    let between = request.between_tokens();
    let left = || request.deadline.since(now) / 2 / request.decode_tokens.max(1);
    between.unwrap_or_else(left).as_micros() as u64
}

fn cached(hits: &[PrefixHit], ix: RunnerIx) -> u32 {
    hits.iter().find(|hit| hit.runner == ix).map_or(0, |hit| hit.tokens)
}
