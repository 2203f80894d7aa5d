//! Grants that come back, owners that change, entries and runners that go.

mod pool_fixture;

use std::time::Duration;

use comfreyway_core::{
    ids::RequestId,
    outcome::{NotRunReason, RetryReason},
    pool::{PoolInput, RequestState, RunnerSpec},
    request::DispatchEnd,
};
use rstest::rstest;

use self::pool_fixture::{Bench, complete, entry, record, runner, settings, spec};

fn id(value: u128) -> RequestId {
    RequestId::new(value)
}

fn with_runners(count: u8, limit: u32) -> Bench {
    let mut bench = Bench::new(settings());
    for n in 1..=count {
        bench.step(PoolInput::RunnerUpdated(spec(n, limit, true)));
    }
    bench
}

#[test]
fn refused_connection_goes_to_another_runner() {
    let mut bench = with_runners(2, 4);
    bench.submit(&record(1, 0, 200));
    let first = bench.grants()[0].1.clone();
    let reason = RetryReason::ConnectRefused;
    bench.step(PoolInput::GrantUnused { id: id(1), reason });
    let second = bench.grants()[0].1.clone();
    assert_ne!(first, second);
    assert_eq!(bench.pool.counters().returned[&reason], 1);
}

#[test]
fn retry_budget_ends_in_a_truthful_refusal() {
    let mut bench = with_runners(3, 100);
    let mut refused = Vec::new();
    for n in 1..=400 {
        bench.submit(&record(n, 1, 200));
        while !bench.grants().is_empty() {
            let reason = RetryReason::ConnectRefused;
            bench.step(PoolInput::GrantUnused { id: id(n), reason });
            refused.extend(bench.refusals());
            bench.step(PoolInput::RunnerUpdated(spec(1, 100, true)));
        }
        bench.step(PoolInput::Withdraw(id(n)));
        bench.pass(10_000);
        if !refused.is_empty() {
            break;
        }
    }
    assert_eq!(refused[0].1, NotRunReason::ConnectFailed);
    let retries = bench.pool.counters().returned[&RetryReason::ConnectRefused];
    let granted = bench.pool.counters().granted;
    assert!(retries <= 51 + granted / 10, "{retries} retries after {granted} grants");
}

#[test]
fn answers_of_a_plain_service_end_the_growth_of_its_pauses() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, false)));
    for n in 0..12 {
        let (good, bad) = (2 * n + 1, 2 * n + 2);
        bench.submit(&record(good, 1, 0));
        bench.step(PoolInput::Ended { id: id(good), end: complete(0, 0, 5, 5) });
        bench.submit(&record(bad, 1, 0));
        bench.step(PoolInput::Ended { id: id(bad), end: DispatchEnd::Failed });
        assert!(bench.pool.runners(bench.now)[0].paused);
        bench.pass(250);
        assert!(!bench.pool.runners(bench.now)[0].paused);
    }
}

#[test]
fn unconfirmed_grant_comes_back_after_its_lifetime() {
    let mut bench = with_runners(1, 4);
    bench.submit(&record(1, 0, 200));
    bench.pass(1_400);
    assert_eq!(bench.grants(), []);
    bench.pass(100);
    assert_eq!(bench.grants().len(), 1);
    assert_eq!(bench.pool.counters().returned[&RetryReason::GrantExpired], 1);
}

#[test]
fn confirmed_grant_stays() {
    let mut bench = with_runners(1, 4);
    bench.submit(&record(1, 0, 200)).step(PoolInput::Dispatched(id(1)));
    bench.pass(60_000);
    assert_eq!(bench.grants(), []);
    let state = bench.pool.explain(id(1)).unwrap().state;
    assert_eq!(state, RequestState::Dispatched(Some(runner(1))));
}

#[rstest]
#[case::twice(PoolInput::Submit(record(1, 0, 200)))]
#[case::confirmed_twice(PoolInput::Dispatched(id(1)))]
#[case::unknown_end(PoolInput::Ended { id: id(9), end: complete(1, 1, 1, 1) })]
#[case::unknown_withdrawal(PoolInput::Withdraw(id(9)))]
#[case::unknown_return(PoolInput::GrantUnused { id: id(9), reason: RetryReason::StaleEpoch })]
fn repeated_or_unknown_inputs_change_nothing(#[case] input: PoolInput) {
    let mut bench = with_runners(2, 4);
    bench.submit(&record(1, 0, 200)).step(PoolInput::Dispatched(id(1)));
    let before = bench.pool.sizes();
    bench.step(input);
    assert_eq!(bench.actions, []);
    assert_eq!(bench.pool.sizes(), before);
}

#[test]
fn leaving_runner_gets_nothing_and_returns_when_it_is_up() {
    let mut bench = with_runners(1, 4);
    bench.step(PoolInput::RunnerLeaving(runner(1))).submit(&record(1, 0, 200));
    assert_eq!(bench.grants(), []);
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    assert_eq!(bench.grants(), [(1, runner(1))]);
}

#[test]
fn lost_entry_takes_its_waiting_requests_but_not_its_load() {
    let mut bench = with_runners(1, 1);
    bench.submit(&record(1, 1, 200)).step(PoolInput::Dispatched(id(1)));
    bench.submit(&record(2, 1, 200));
    let mut other = record(3, 1, 200);
    other.entry = entry(2);
    bench.submit(&other);
    bench.step(PoolInput::EntryDown(entry(1)));
    assert_eq!((bench.pool.waiting(), bench.pool.in_progress()), (1, 1));
    bench.pass(4_000);
    assert_eq!(bench.grants(), []);
    bench.pass(4_000);
    assert_eq!(bench.grants(), [(3, runner(1))]);
}

#[test]
fn adopted_work_counts_towards_the_limit() {
    let mut bench = with_runners(1, 2);
    for n in 1..=2 {
        bench.step(PoolInput::Adopt { record: record(n, 1, 200), runner: runner(1) });
    }
    bench.submit(&record(3, 0, 200));
    assert_eq!(bench.grants(), []);
    bench.step(PoolInput::Ended { id: id(1), end: complete(200, 4, 100, 300) });
    assert_eq!(bench.grants(), [(3, runner(1))]);
}

#[test]
fn adoption_ends_the_wait_of_a_known_request() {
    let mut bench = Bench::new(settings());
    bench.submit(&record(1, 0, 200));
    bench.step(PoolInput::Adopt { record: record(1, 0, 200), runner: runner(1) });
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    assert_eq!(bench.actions, []);
    assert_eq!((bench.pool.waiting(), bench.pool.in_progress()), (0, 1));
}

#[test]
fn age_counts_towards_the_target_after_a_takeover() {
    let mut bench = Bench::new(settings());
    let mut old = record(1, 0, 200);
    old.age = Duration::from_secs(8);
    bench.submit(&old);
    bench.pass(2_000);
    assert_eq!(bench.refusals(), [(1, NotRunReason::NoRunner)]);
}

#[test]
fn leaving_runner_that_is_described_again_gets_no_work() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    bench.step(PoolInput::RunnerLeaving(runner(1)));
    bench.submit(&record(1, 0, 200));
    let leaving = RunnerSpec { leaving: true, ..spec(1, 8, true) };
    bench.step(PoolInput::RunnerUpdated(leaving));
    assert!(bench.grants().is_empty());
    bench.step(PoolInput::RunnerUpdated(spec(1, 8, true)));
    assert_eq!(bench.grants().len(), 1);
}
