//! Rate limits that runners name: they get no more, whatever happens to hosts and
//! coordinators, and no less while requests wait.

use std::time::Duration;

use comfreyway_core::{
    fleet::{LimitReport, RunnerKey, RunnerLimits},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::{
    runner_fleet::{Faults, Fleet, PLAY_MS, Pool},
    support::{at, name},
};

/// Time after which the users count requests, their window, by how much the limit may
/// be exceeded, and how many more requests there may be.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// Longest time that one limit stays.
const MAX_LIMIT_MS: u64 = 15_000;

/// Checks the arrivals at all limited runners since their limits began. Returns how many
/// were allowed and how many came.
fn check(fleet: &Fleet, seed: u64) -> (f64, f64) {
    let (mut allowed_in_all, mut came_in_all) = (0.0, 0.0);
    for (per_s, since_ms, arrivals) in fleet.limited() {
        let from_ms = since_ms + CONTACT_MS;
        let counted: Vec<_> = arrivals.iter().filter(|at| **at >= from_ms).collect();
        let allowed = per_s * WINDOW_MS as f64 / 1e3 * ALLOWED_FACTOR + ALLOWED_MORE;
        for start in &counted {
            let in_window = counted.iter().filter(|at| *at >= start && ***at < **start + WINDOW_MS);
            let came = in_window.count();
            assert!(came as f64 <= allowed, "seed {seed}: {came} at a limit of {per_s}");
        }
        allowed_in_all += per_s * fleet.now_ms.saturating_sub(from_ms) as f64 / 1e3;
        came_in_all += counted.len() as f64;
    }
    (allowed_in_all, came_in_all)
}

fn play(seed: u64, faults: Faults) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(seed, Pool::Engines, &[], faults);
    fleet.steps_per_request = 2;
    let (mut allowed, mut came) = (0.0, 0.0);
    let mut next_ms = fleet.now_ms + 2_000;
    while fleet.now_ms < PLAY_MS {
        fleet.step();
        if fleet.now_ms >= next_ms {
            let of_these = check(&fleet, seed);
            (allowed, came) = (allowed + of_these.0, came + of_these.1);
            for pick in 0..12 {
                let limits = [0.0, 0.4, 1.1, 2.0];
                let limit = limits[rng.random_range(0..limits.len())];
                fleet.set_limit(pick, Some(limit).filter(|_| pick < 6));
            }
            next_ms = fleet.now_ms + rng.random_range(CONTACT_MS..MAX_LIMIT_MS);
        }
    }
    (allowed, came)
}

#[test]
fn limited_runners_get_what_they_take_and_no_more() {
    let plays = (0..8).map(|seed| play(seed, Faults::None));
    let (allowed, came) = plays.fold((0.0, 0.0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    assert!(came >= 0.9 * allowed, "{came} of {allowed}");
}

#[test]
fn limited_runners_get_no_more_while_hosts_are_killed_and_cut_off() {
    for seed in 0..16 {
        play(seed, Faults::Cuts);
    }
}

const MS: fn(u64) -> Duration = Duration::from_millis;

fn report(per_s: Option<f64>, sent_ago_ms: u64) -> LimitReport {
    let key = RunnerKey { name: name("r1"), started_ms: Some(1) };
    LimitReport { key, per_s, sent_ago: MS(sent_ago_ms) }
}

/// Second response, 400 ms after one that named a limit of 2.
#[rstest]
#[case::older_without_a_limit(report(None, 450), Some(2.0))]
#[case::later_without_a_limit(report(None, 100), None)]
#[case::older_with_a_higher_limit(report(Some(3.0), 450), Some(2.0))]
#[case::later_with_a_higher_limit(report(Some(3.0), 100), Some(3.0))]
#[case::older_with_a_lower_limit(report(Some(1.0), 450), Some(1.0))]
fn responses_that_overtake_each_other_lift_no_limit(
    #[case] second: LimitReport,
    #[case] expected: Option<f64>,
) {
    let mut limits = RunnerLimits::default();
    limits.apply(at(1_000), &report(Some(2.0), 20));
    limits.apply(at(1_400), &second);
    assert_eq!(limits.of(&second.key).map(|limit| limit.per_s), expected);
}

#[test]
fn a_limit_belongs_to_one_run() {
    let mut limits = RunnerLimits::default();
    limits.apply(MonoTime::ZERO, &report(Some(2.0), 0));
    let other = RunnerKey { started_ms: Some(2), ..report(None, 0).key };
    assert_eq!(limits.of(&other), None);
}
