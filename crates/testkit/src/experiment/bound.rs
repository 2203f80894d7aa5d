//! Upper bound on the weighted goodput, from a relaxed schedule.
//!
//! The relaxed schedule knows the whole trace. It treats the engines as one
//! machine that can serve any fraction of a request at any time from the end of
//! the warm-up until the last target of the trace has passed, at a full batch,
//! with every prefix that any earlier request had in its cache. It ignores
//! targets, order of arrival, and work left from the warm-up. What it then
//! serves, best value per work first, no schedule can exceed.

use std::time::Duration;

use comfreyway_core::{request::Target, time::MonoTime};

use super::{
    engine::EngineSpec,
    scenario::{DURATION, Scenario, WARM_UP},
    score::TIERS,
    workload::{Arrival, Workload},
};

/// Upper bound on the weighted goodput of a trace.
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
            (value, least_share(engines, arrival))
        })
        .collect();
    items.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut left = time(&counted).as_secs_f64() * capacity_share(engines, scenario);
    let mut total = 0.0;
    for (value, work) in items {
        let served = (left / work).clamp(0.0, 1.0);
        total += value * served;
        left -= work * served;
    }
    total
}

/// Seconds of the whole pool that a request takes at least.
fn least_share(engines: &[EngineSpec], arrival: &Arrival) -> f64 {
    let (prefill, decode) = (f64::from(arrival.new_tokens), f64::from(arrival.decode_tokens));
    let rate: f64 = engines.iter().map(|engine| 1.0 / engine.added_work(prefill, decode)).sum();
    1.0 / rate
}

/// Time during which the counted requests can be served.
fn time(counted: &[&Arrival]) -> Duration {
    let longest = counted.iter().map(|arrival| match arrival.record.target {
        Target::Whole(limit) => limit,
        Target::Stream { first_token, between_tokens } => {
            first_token + between_tokens * arrival.decode_tokens
        }
    });
    DURATION - WARM_UP + longest.max().unwrap_or_default()
}

/// Share of the pool that is there: a lost runner is missing for a part.
fn capacity_share(engines: &[EngineSpec], scenario: Scenario) -> f64 {
    if scenario != Scenario::RunnerLost {
        return 1.0;
    }
    let rate = |engine: &EngineSpec| engine.prefill_rate;
    let all: f64 = engines.iter().map(rate).sum();
    let lost = engines.first().map_or(0.0, rate) / 2.0;
    1.0 - lost / all
}
