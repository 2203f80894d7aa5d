//! Figures of one run: goodput, latencies, waste and fairness.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{ids::Tier, time::MonoTime};
use hdrhistogram::Histogram;

use super::{run::RunResult, scenario::WARM_UP, timeline::RequestTimeline, workload::Arrival};

/// Number of tiers.
pub(crate) const TIERS: usize = 3;

/// Figures of one tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TierScore {
    /// Number of requests.
    pub offered: u64,
    /// Number of requests answered within their target.
    pub good: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Time to the first token, in milliseconds, at the 50th, 95th and 99th
    /// percentile.
    pub first_ms: [u64; 3],
}

impl TierScore {
    /// Returns the share of requests answered within their target.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            return 1.0;
        }
        self.good as f64 / self.offered as f64
    }
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Figures by tier.
    pub tiers: [TierScore; TIERS],
    /// Tokens prefilled for responses that missed their target, or while cached
    /// at another engine, as a share of all prefilled tokens.
    pub wasted: f64,
    /// Part of `wasted` for responses that missed their target.
    pub missed: f64,
    /// Time between tokens in milliseconds at the 50th, 95th and 99th
    /// percentile.
    pub between_ms: [u64; 3],
    /// Jain's fairness index of the workspaces' goodput in the lowest tier.
    pub fairness: f64,
    /// Least time for the tokens prefilled and generated, as a share of the
    /// engines' time.
    pub utilisation: f64,
}

impl Score {
    /// Returns the weighted mean of the tiers' goodput.
    #[must_use]
    pub fn weighted(&self, weights: [f64; TIERS]) -> f64 {
        let sum: f64 = self.tiers.iter().zip(weights).map(|(t, w)| t.goodput() * w).sum();
        sum / weights.iter().sum::<f64>()
    }
}

/// Computes the figures of a run.
#[must_use]
pub(crate) fn score(trace: &[Arrival], result: &RunResult) -> Score {
    let counted: Vec<(&Arrival, &RequestTimeline)> = trace
        .iter()
        .zip(&result.timelines)
        .filter(|(arrival, _)| arrival.at >= MonoTime::ZERO + WARM_UP)
        .collect();
    let prefilled: u64 = counted.iter().map(|(a, t)| u64::from(t.prefilled_tokens(a))).sum();
    let missed: u64 = counted.iter().map(|(a, t)| u64::from(t.missed_tokens(a))).sum();
    let repeated: u64 = counted.iter().map(|(a, t)| u64::from(t.repeated_tokens(a))).sum();
    let mut tiers = [TierScore::default(); TIERS];
    for (number, tier) in tiers.iter_mut().enumerate() {
        *tier = tier_score(&counted, Tier(number as u8));
    }
    Score {
        tiers,
        wasted: (missed + repeated) as f64 / prefilled.max(1) as f64,
        missed: missed as f64 / prefilled.max(1) as f64,
        between_ms: percentiles(result.gaps.iter().map(|&us| u64::from(us))),
        fairness: fairness(&counted),
        utilisation: result.utilisation,
    }
}

fn tier_score(counted: &[(&Arrival, &RequestTimeline)], tier: Tier) -> TierScore {
    let of_tier = || counted.iter().filter(|(arrival, _)| arrival.record.tier == tier);
    let first = of_tier().filter_map(|(arrival, timeline)| timeline.first_token(arrival));
    TierScore {
        offered: of_tier().count() as u64,
        good: of_tier().filter(|(arrival, timeline)| timeline.met_target(arrival)).count() as u64,
        refused: of_tier().filter(|(_, timeline)| timeline.refused.is_some()).count() as u64,
        first_ms: percentiles(first.map(|d: Duration| d.as_micros() as u64)),
    }
}

/// Returns the 50th, 95th and 99th percentile, in milliseconds, of values in
/// microseconds.
fn percentiles<I>(values: I) -> [u64; 3]
where
    I: Iterator<Item = u64>,
{
    let mut histogram = Histogram::<u64>::new(3).expect("three significant figures");
    for value in values {
        histogram.record(value).expect("the histogram grows");
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) / 1_000)
}

fn fairness(counted: &[(&Arrival, &RequestTimeline)]) -> f64 {
    let mut by_workspace: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for (arrival, timeline) in counted.iter().filter(|(a, _)| a.record.tier == Tier(2)) {
        let (offered, good) = by_workspace.entry(arrival.record.workspace.as_str()).or_default();
        *offered += 1.0;
        *good += f64::from(u8::from(timeline.met_target(arrival)));
    }
    let shares: Vec<f64> = by_workspace.values().map(|(offered, good)| good / offered).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 { 0.0 } else { sum * sum / (squares * shares.len() as f64) }
}
