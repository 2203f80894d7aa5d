//! Choice of the runner for a request, by one formula in time.
//!
//! ```text
//! cost = wait + (prefill_tokens - cached_tokens) * prefill_time_per_token
//!             + decode_tokens * excess_time_between_tokens
//!             + share of the sequence limit in use * crowding time
//! ```
//!
//! All terms are in microseconds. The excess is the expected time between
//! tokens on that runner beyond the target; for a class with a target for the
//! whole answer it is the full time between tokens.

use std::time::Duration;

use crate::time::MonoTime;

use super::{
    prefix::PrefixHit,
    request::Request,
    runner::{Access, Runner, RunnerIx},
    table::RunnerTable,
};

/// Runners that are compared besides those that hold a prefix.
const CANDIDATES: usize = 16;

/// Time that a full runner costs more than an idle one.
const FULL_RUNNER_US: f64 = 50_000.0;

/// A runner with its expected times for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) runner: RunnerIx,
    /// Cost by which runners are compared.
    pub(super) cost: Duration,
    /// Expected time until the request's target is met.
    pub(super) expected: Duration,
    /// Prompt tokens that are probably not cached.
    pub(super) uncached: u32,
}

/// The best runner that has room, or none.
pub(super) fn place(
    now: MonoTime,
    runners: &RunnerTable,
    request: &Request,
    access: Access,
    hits: &[PrefixHit],
) -> Option<Placement> {
    let open = runners.open(access, request.length).take(CANDIDATES);
    let candidates = open.chain(hits.iter().map(|hit| hit.runner));
    let costs = candidates.filter_map(|ix| {
        let runner = runners.get(ix)?;
        let room = runner.has_room(now, access, request.length);
        room.then(|| estimate(now, ix, runner, request, cached(hits, ix)))
    });
    costs.min_by_key(|p| (p.cost, p.runner))
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
        return Placement { runner: ix, cost, expected, uncached: 0 };
    }
    let uncached = request.record.prefill_tokens.saturating_sub(cached);
    let prefill = Duration::from_micros(runner.rates.prefill_us(u64::from(uncached)));
    let between = runner.rates.between_us(f64::from(runner.load()) + 1.0);
    let allowed = request.between_tokens().map_or(0, |d| d.as_micros() as u64);
    let excess = between.saturating_sub(allowed);
    let decode = Duration::from_micros(excess * u64::from(request.decode_tokens));
    let first = runner.wait(now) + prefill;
    let rest = Duration::from_micros(between * u64::from(request.target_decode_tokens()));
    Placement { runner: ix, cost: first + decode + crowding, expected: first + rest, uncached }
}

fn cached(hits: &[PrefixHit], ix: RunnerIx) -> u32 {
    hits.iter().find(|hit| hit.runner == ix).map_or(0, |hit| hit.tokens)
}
