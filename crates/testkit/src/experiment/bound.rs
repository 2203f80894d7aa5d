//! Upper bound on the weighted goodput, from a relaxed schedule.
//!
//! The relaxed schedule knows the whole trace. It treats the engines as one
//! machine that can serve any fraction of a request at any time from the end of
//! the warm-up until the last possible deadline of the trace, at full batches,
//! with all prefixes of earlier requests in its cache. It ignores the
//! targets of requests, the order of arrival, and work left from the warm-up. It
//! serves requests by value per unit of work, highest first. No schedule can
//! exceed its goodput.

use std::time::Duration;

use comfreyway_core::{request::Target, time::MonoTime};

use super::{
    engine::EngineSpec,
    scenario::{DURATION, Scenario, WARM_UP},
    score::TIERS,
    workload::{Arrival, Workload},
};

/// Returns an upper bound on the weighted goodput of a trace.
#[must_use]
pub(crate) fn bound(
    workload: &Workload,
    engines: &[EngineSpec],
    trace: &[Arrival],
    scenario: Scenario,
) -> f64 {
    let counted: Vec<&Arrival> =
        trace.iter().filter(|arrival| arrival.at >= MonoTime::ZERO + WARM_UP).collect();
    let mut offered = [0.0; TIERS];
    for arrival in &counted {
        offered[usize::from(arrival.record.tier.0)] += 1.0;
    }
    let weights: f64 = workload.tier_weights.iter().sum();
    let mut items: Vec<(f64, f64)> = counted
        .iter()
        .map(|arrival| {
            let tier = usize::from(arrival.record.tier.0);
            let value = workload.tier_weights[tier] / weights / offered[tier];
            (value, min_pool_seconds(engines, arrival))
        })
        .collect();
    items.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut left = service_window(&counted).as_secs_f64() * capacity_share(engines, scenario);
    let mut total = 0.0;
    for (value, work) in items {
        let served = (left / work).clamp(0.0, 1.0);
        total += value * served;
        left -= work * served;
    }
    total
}

/// Returns the least seconds of the whole pool's time that a request takes.
fn min_pool_seconds(engines: &[EngineSpec], arrival: &Arrival) -> f64 {
    let (prefill, decode) = (f64::from(arrival.new_tokens), f64::from(arrival.decode_tokens));
    let rate: f64 =
        engines.iter().map(|engine| 1.0 / engine.min_added_seconds(prefill, decode)).sum();
    1.0 / rate
}

/// Returns the time during which the counted requests can be served.
fn service_window(counted: &[&Arrival]) -> Duration {
    let longest = counted.iter().map(|arrival| match arrival.record.target {
        Target::Whole(limit) => limit,
        Target::Stream { first_token, between_tokens } => {
            first_token + between_tokens * arrival.decode_tokens
        }
    });
    DURATION - WARM_UP + longest.max().unwrap_or_default()
}

/// Returns the share of the pool's capacity that is up. A crashed runner counts
/// half, though it is down for longer, so that the bound holds.
fn capacity_share(engines: &[EngineSpec], scenario: Scenario) -> f64 {
    if scenario != Scenario::RunnerLost {
        return 1.0;
    }
    let rate = |engine: &EngineSpec| engine.prefill_rate;
    let all: f64 = engines.iter().map(rate).sum();
    let down = engines.first().map_or(0.0, rate) / 2.0;
    1.0 - down / all
}
