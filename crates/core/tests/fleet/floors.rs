//! Floors of classes under loads that exceed the runners' capacity.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Decision, UpstreamScheduler},
    request::{DispatchEnd, RequestRecord, Target, Usage},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{at, id, name, record};

/// The operators require that each class is served at least this often, as a
/// fraction of how often all requests are.
const REQUIRED_FRACTION: f64 = 0.25;

const LENGTH_MS: u64 = 30_000;
const STEP_MS: u64 = 10;

/// Requests of one class.
#[derive(Clone, Debug)]
struct Load {
    tier: u8,
    per_s: f64,
    first_token_ms: u64,
    time_limit_ms: u64,
    prompt_tokens: u32,
    /// Time at the runner.
    service_ms: u64,
}

impl Load {
    /// Time to the first token at a runner that does nothing else.
    fn first_token(&self) -> Duration {
        Duration::from_micros(22_000 + 20 * u64::from(self.prompt_tokens))
    }

    fn record(&self, number: u128) -> RequestRecord {
        let mut record = record(number, self.tier, self.prompt_tokens);
        record.target = Target::Stream {
            first_token: Duration::from_millis(self.first_token_ms),
            between_tokens: Duration::from_millis(300),
        };
        record
    }
}

/// Plays the loads against this many runners with four slots each. Returns the
/// served and the offered requests of each load.
fn play(loads: &[Load], runners: usize) -> Vec<(u32, u32)> {
    let mut scheduler = UpstreamScheduler::new(true);
    for runner in 0..runners {
        scheduler.set_runner(name(&format!("r{runner}")), 4, false);
    }
    let mut results = vec![(0, 0); loads.len()];
    let mut due = vec![0.0; loads.len()];
    let mut ends: BTreeMap<u64, Vec<(u128, usize)>> = BTreeMap::new();
    let mut class_of = BTreeMap::new();
    let mut next = 0;
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let mut out = Vec::new();
        let later = ends.split_off(&(ms + 1));
        for (number, load) in std::mem::replace(&mut ends, later).into_values().flatten() {
            let total = Duration::from_millis(loads[load].service_ms);
            let first_token = loads[load].first_token().min(total);
            let usage = Usage { decode_tokens: 50, first_token, total, ..Usage::default() };
            scheduler.ended(at(ms), id(number), DispatchEnd::Complete(usage));
            results[load].0 += 1;
        }
        for (index, load) in loads.iter().enumerate() {
            due[index] += load.per_s * STEP_MS as f64 / 1e3;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                next += 1;
                results[index].1 += 1;
                class_of.insert(next, index);
                let left = Duration::from_millis(load.time_limit_ms);
                scheduler.submit(at(ms), load.record(next), left, None, &mut out);
            }
        }
        scheduler.tick(at(ms), &mut out);
        for decision in out {
            if let Decision::Grant(_, granted, _) = decision {
                let load = class_of[&granted.value()];
                scheduler.first_token(at(ms) + loads[load].first_token(), granted);
                let end = ms + loads[load].service_ms;
                ends.entry(end).or_default().push((granted.value(), load));
            }
        }
    }
    results
}

fn served(results: &[(u32, u32)]) -> (f64, Vec<f64>) {
    let (served, offered) =
        results.iter().fold((0, 0), |sum, result| (sum.0 + result.0, sum.1 + result.1));
    let each = results.iter().map(|(served, offered)| f64::from(*served) / f64::from(*offered));
    (f64::from(served) / f64::from(offered), each.collect())
}

/// Long urgent requests that need more slots than there are, and short ones of the
/// lowest tier, as at a booking desk that drafts itineraries and sums up notices.
#[rstest]
#[case::short_requests(200)]
#[case::long_requests(1_500)]
fn a_burst_of_urgent_classes_does_not_starve_the_least_urgent_one(#[case] service_ms: u64) {
    let long = Load {
        tier: 0,
        per_s: 30.0,
        first_token_ms: 800,
        time_limit_ms: 12_000,
        prompt_tokens: 1_500,
        service_ms: 2_400,
    };
    let middle = Load { tier: 1, first_token_ms: 300, prompt_tokens: 630, ..long.clone() };
    let short = Load {
        tier: 2,
        first_token_ms: 400,
        time_limit_ms: 3_000,
        prompt_tokens: 1_800,
        per_s: 40.0,
        service_ms,
    };
    let results = play(&[long, middle, short], 10);
    let (all, each) = served(&results);
    assert!(each[2] >= REQUIRED_FRACTION * all, "{each:?} of all {all}");
    assert!(each[0] > each[1] && each[0] > each[2], "the most urgent is served most: {each:?}");
}

#[test]
fn floors_change_nothing_while_there_is_room_for_all() {
    let load = Load {
        tier: 0,
        per_s: 3.0,
        first_token_ms: 800,
        time_limit_ms: 12_000,
        prompt_tokens: 1_000,
        service_ms: 1_000,
    };
    let results = play(&[load.clone(), Load { tier: 2, ..load }], 10);
    // The last second's requests are still in progress.
    assert!(results.iter().all(|(served, offered)| offered - served <= 4), "{results:?}");
}

fn any_load() -> impl Strategy<Value = Load> {
    (0_u8..3, 2.0..20.0, 300_u64..1_500, 3_000_u64..15_000, 100_u32..7_000, 200_u64..2_500)
        .prop_map(|(tier, per_s, first_token_ms, time_limit_ms, prompt_tokens, service_ms)| Load {
            tier,
            per_s,
            first_token_ms,
            time_limit_ms,
            prompt_tokens,
            service_ms,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_class_starves_under_any_mix(
        loads in (any_load(), any_load(), any_load()),
        runners in 3_usize..16,
    ) {
        let loads = [
            Load { tier: 0, ..loads.0 },
            Load { tier: 1, ..loads.1 },
            Load { tier: 2, ..loads.2 },
        ];
        let (all, each) = served(&play(&loads, runners));
        for class in &each {
            prop_assert!(*class >= REQUIRED_FRACTION * all, "{:?} of all {} {:?}", each, all, loads);
        }
    }
}
