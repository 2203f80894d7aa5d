//! Who gives way when capacity runs short.

mod pool_fixture;

use std::time::Duration;

use comfreyway_core::{
    outcome::NotRunReason,
    pool::{PoolAction, PoolInput},
    request::Target,
};
use rstest::rstest;

use self::pool_fixture::{Bench, record, runner, settings, spec};

#[test]
fn higher_tier_displaces_newest_of_lowest_tier() {
    let mut bench = Bench::new(settings().with_max_waiting(3, 1 << 30));
    for (id, tier) in [(1, 1), (2, 3), (3, 3)] {
        bench.submit(&record(id, tier, 200));
    }
    bench.submit(&record(4, 2, 200));
    assert_eq!(bench.refusals(), [(3, NotRunReason::QueueFull)]);
    bench.submit(&record(5, 0, 200));
    assert_eq!(bench.refusals(), [(2, NotRunReason::QueueFull)]);
    assert_eq!(bench.pool.waiting(), 3);
}

#[test]
fn lowest_tier_is_refused_at_a_full_queue() {
    let mut bench = Bench::new(settings().with_max_waiting(2, 1 << 30));
    bench.submit(&record(1, 0, 200)).submit(&record(2, 1, 200));
    bench.submit(&record(3, 1, 200));
    assert_eq!(bench.refusals(), [(3, NotRunReason::QueueFull)]);
}

#[test]
fn queue_is_bounded_in_bytes() {
    let mut bench = Bench::new(settings().with_max_waiting(100, 250));
    for id in 1..=3 {
        bench.submit(&record(id, 1, 200));
    }
    assert_eq!(bench.refusals(), [(3, NotRunReason::QueueFull)]);
    bench.submit(&record(4, 0, 200));
    assert_eq!(bench.refusals(), [(2, NotRunReason::QueueFull)]);
    assert_eq!(bench.pool.sizes().waiting_bytes, 200);
}

#[test]
fn lower_tier_is_not_admitted_right_after_a_higher_one_was_shed() {
    let mut bench = Bench::new(settings().with_max_waiting(1, 1 << 30));
    bench.submit(&record(1, 1, 200)).submit(&record(2, 1, 200));
    assert_eq!(bench.refusals(), [(2, NotRunReason::QueueFull)]);
    bench.step(PoolInput::Withdraw(record(1, 1, 200).id));
    bench.submit(&record(3, 2, 200));
    assert_eq!(bench.refusals(), [(3, NotRunReason::Shed)]);
    bench.submit(&record(4, 1, 200));
    assert_eq!(bench.refusals(), []);
}

#[rstest]
#[case::no_runner(false, NotRunReason::NoRunner)]
#[case::paused_runner(true, NotRunReason::TargetUnreachable)]
fn request_is_refused_once_its_target_is_unreachable(
    #[case] with_runner: bool,
    #[case] reason: NotRunReason,
) {
    let mut bench = Bench::new(settings());
    if with_runner {
        bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
        bench.step(PoolInput::RunnerLeaving(runner(1)));
    }
    bench.submit(&record(1, 0, 200));
    assert_eq!(bench.refusals(), []);
    bench.pass(10_000);
    assert_eq!(bench.refusals(), [(1, reason)]);
}

#[test]
fn request_without_time_left_is_refused_on_arrival() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    let mut late = record(1, 0, 200);
    late.age = Duration::from_secs(10);
    bench.submit(&late);
    assert_eq!(bench.refusals(), [(1, NotRunReason::TargetUnreachable)]);
}

#[test]
fn prompt_too_long_for_its_target_is_refused_before_prefill() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    let mut long = record(1, 0, 100_000);
    long.target = Target::Whole(Duration::from_millis(500));
    bench.submit(&long);
    assert_eq!(bench.refusals(), [(1, NotRunReason::TargetUnreachable)]);
}

#[test]
fn refusal_names_a_time_to_come_back() {
    let mut bench = Bench::new(settings().with_max_waiting(0, 0));
    bench.submit(&record(1, 0, 200));
    let retry_after = bench.actions.iter().find_map(|action| match action {
        PoolAction::Refuse { retry_after, .. } => Some(*retry_after),
        PoolAction::Grant { .. } | PoolAction::SetTimer(_) => None,
    });
    assert!(retry_after.unwrap() >= Duration::from_secs(1));
}
