//! The phases of a planned stop.

use std::time::Duration;

use comfreyway_core::fleet::{StopPhase, StopSchedule};
use rstest::rstest;

/// Milliseconds between two looks.
const STEP_MS: u64 = 10;

/// Returns when each phase begins, in milliseconds.
fn begins(limit: Option<Duration>, until_ms: u64) -> Vec<(StopPhase, u64)> {
    let schedule = StopSchedule::new(limit);
    let times = (0..=until_ms / STEP_MS).map(|step| step * STEP_MS);
    let mut phases = times.map(|ms| (schedule.phase(Duration::from_millis(ms)), ms));
    let mut begins = vec![phases.next().unwrap()];
    for (phase, ms) in phases {
        let (last, _) = begins[begins.len() - 1];
        assert!(phase >= last, "{phase:?} follows {last:?}");
        if phase != last {
            begins.push((phase, ms));
        }
    }
    begins
}

/// Load: requests that wait for a busy runner, and some that run, when the limit is near.
/// The host ended with all of them, since no phase concerned them.
#[rstest]
#[case::eight_seconds(8_000)]
#[case::four_seconds(4_000)]
#[case::half_a_minute(30_000)]
fn a_stop_leaves_time_for_what_runs_and_for_each_answer(#[case] limit_ms: u64) {
    let begins = begins(Some(Duration::from_millis(limit_ms)), limit_ms);
    let at = |phase| begins.iter().find(|(begun, _)| *begun == phase).map(|(_, ms)| *ms);
    let [dispatched, aborting, ended] =
        [StopPhase::Dispatched, StopPhase::Aborting, StopPhase::Ended].map(|p| at(p).unwrap());
    // A quarter of the limit for requests that were dispatched last.
    assert!(aborting - dispatched >= limit_ms / 4 - STEP_MS, "{begins:?}");
    assert!(ended - aborting >= 300, "{begins:?}");
    assert!(limit_ms - ended >= 400, "{begins:?}");
}

/// The load balancer needs two failed checks, a second apart.
#[rstest]
#[case::limit(Some(8))]
#[case::no_limit(None)]
fn callers_of_the_load_balancer_are_served_for_two_checks(#[case] limit_s: Option<u64>) {
    let begins = begins(limit_s.map(Duration::from_secs), 8_000);
    assert_eq!(begins[..2], [(StopPhase::Draining, 0), (StopPhase::Refusing, 2_400)]);
}

#[test]
fn a_stop_without_a_limit_gives_up_nothing() {
    let schedule = StopSchedule::new(None);
    assert_eq!(schedule.phase(Duration::from_secs(3_600)), StopPhase::Refusing);
}

/// Nothing that is accepted then could be answered.
#[rstest]
#[case(0)]
#[case(400)]
fn a_limit_below_the_margin_ends_at_once(#[case] limit_ms: u64) {
    let begins = begins(Some(Duration::from_millis(limit_ms)), 1_000);
    assert_eq!(begins, [(StopPhase::Ended, 0)]);
}
