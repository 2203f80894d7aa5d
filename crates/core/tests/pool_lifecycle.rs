//! Unused and reclaimed grants, changes of the owner, entries that are down and
//! runners that are leaving.

mod pool_fixture;

use std::time::Duration;

use comfreyway_core::{
    ids::RequestId,
    outcome::{NotRunReason, RetryReason},
    pool::{PoolInput, RequestState, RunnerSpec},
    request::DispatchEnd,
};
use rstest::rstest;

use self::pool_fixture::{Fixture, complete, entry, record, runner, settings, spec};

fn id(value: u128) -> RequestId {
    RequestId::new(value)
}

fn with_runners(count: u8, limit: u32) -> Fixture {
    let mut fixture = Fixture::new(settings());
    for n in 1..=count {
        fixture.step(PoolInput::RunnerUpdated(spec(n, limit, true)));
    }
    fixture
}

#[test]
fn refused_connection_is_retried_on_another_runner() {
    let mut fixture = with_runners(2, 4);
    fixture.submit(&record(1, 0, 200));
    let first = fixture.grants()[0].1.clone();
    let reason = RetryReason::ConnectRefused;
    fixture.step(PoolInput::GrantUnused { id: id(1), reason });
    let second = fixture.grants()[0].1.clone();
    assert_ne!(first, second);
    assert_eq!(fixture.pool.counters().returned[&reason], 1);
}

#[test]
fn spent_retry_budget_refuses_the_request_as_connect_failed() {
    let mut fixture = with_runners(3, 100);
    let mut refused = Vec::new();
    for n in 1..=400 {
        fixture.submit(&record(n, 1, 200));
        while !fixture.grants().is_empty() {
            let reason = RetryReason::ConnectRefused;
            fixture.step(PoolInput::GrantUnused { id: id(n), reason });
            refused.extend(fixture.refusals());
            fixture.step(PoolInput::RunnerUpdated(spec(1, 100, true)));
        }
        fixture.step(PoolInput::Withdraw(id(n)));
        fixture.advance_time(10_000);
        if !refused.is_empty() {
            break;
        }
    }
    assert_eq!(refused[0].1, NotRunReason::ConnectFailed);
    let retries = fixture.pool.counters().returned[&RetryReason::ConnectRefused];
    let granted = fixture.pool.counters().granted;
    assert!(retries <= 51 + granted / 10, "{retries} retries after {granted} grants");
}

#[test]
fn success_of_a_plain_service_resets_its_pause() {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 4, false)));
    for n in 0..12 {
        let (completed, failed) = (2 * n + 1, 2 * n + 2);
        fixture.submit(&record(completed, 1, 0));
        fixture.step(PoolInput::Ended { id: id(completed), end: complete(0, 0, 5, 5) });
        fixture.submit(&record(failed, 1, 0));
        fixture.step(PoolInput::Ended { id: id(failed), end: DispatchEnd::Failed });
        assert!(fixture.pool.runners(fixture.now)[0].paused);
        fixture.advance_time(250);
        assert!(!fixture.pool.runners(fixture.now)[0].paused);
    }
}

#[test]
fn unconfirmed_grant_is_reclaimed_after_its_lifetime() {
    let mut fixture = with_runners(1, 4);
    fixture.submit(&record(1, 0, 200));
    fixture.advance_time(1_400);
    assert_eq!(fixture.grants(), []);
    fixture.advance_time(100);
    assert_eq!(fixture.grants().len(), 1);
    assert_eq!(fixture.pool.counters().returned[&RetryReason::GrantExpired], 1);
}

#[test]
fn confirmed_grant_is_not_reclaimed() {
    let mut fixture = with_runners(1, 4);
    fixture.submit(&record(1, 0, 200)).step(PoolInput::Dispatched(id(1)));
    fixture.advance_time(60_000);
    assert_eq!(fixture.grants(), []);
    let state = fixture.pool.explain(id(1)).unwrap().state;
    assert_eq!(state, RequestState::Dispatched(Some(runner(1))));
}

#[rstest]
#[case::twice(PoolInput::Submit(record(1, 0, 200)))]
#[case::confirmed_twice(PoolInput::Dispatched(id(1)))]
#[case::unknown_end(PoolInput::Ended { id: id(9), end: complete(1, 1, 1, 1) })]
#[case::unknown_withdrawal(PoolInput::Withdraw(id(9)))]
#[case::unknown_unused_grant(PoolInput::GrantUnused { id: id(9), reason: RetryReason::StaleEpoch })]
fn repeated_or_unknown_inputs_change_nothing(#[case] input: PoolInput) {
    let mut fixture = with_runners(2, 4);
    fixture.submit(&record(1, 0, 200)).step(PoolInput::Dispatched(id(1)));
    let before = fixture.pool.sizes();
    fixture.step(input);
    assert_eq!(fixture.actions, []);
    assert_eq!(fixture.pool.sizes(), before);
}

#[test]
fn leaving_runner_gets_no_requests_until_it_is_updated() {
    let mut fixture = with_runners(1, 4);
    fixture.step(PoolInput::RunnerLeaving(runner(1))).submit(&record(1, 0, 200));
    assert_eq!(fixture.grants(), []);
    fixture.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    assert_eq!(fixture.grants(), [(1, runner(1))]);
}

#[test]
fn entry_down_drops_waiting_requests_but_keeps_granted_load() {
    let mut fixture = with_runners(1, 1);
    fixture.submit(&record(1, 1, 200)).step(PoolInput::Dispatched(id(1)));
    fixture.submit(&record(2, 1, 200));
    let mut other = record(3, 1, 200);
    other.entry = entry(2);
    fixture.submit(&other);
    fixture.step(PoolInput::EntryDown(entry(1)));
    assert_eq!((fixture.pool.waiting(), fixture.pool.in_progress()), (1, 1));
    fixture.advance_time(4_000);
    assert_eq!(fixture.grants(), []);
    fixture.advance_time(4_000);
    assert_eq!(fixture.grants(), [(3, runner(1))]);
}

#[test]
fn adopted_work_counts_towards_the_limit() {
    let mut fixture = with_runners(1, 2);
    for n in 1..=2 {
        fixture.step(PoolInput::Adopt { record: record(n, 1, 200), runner: runner(1) });
    }
    fixture.submit(&record(3, 0, 200));
    assert_eq!(fixture.grants(), []);
    fixture.step(PoolInput::Ended { id: id(1), end: complete(200, 4, 100, 300) });
    assert_eq!(fixture.grants(), [(3, runner(1))]);
}

#[test]
fn adoption_ends_the_wait_of_a_known_request() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(&record(1, 0, 200));
    fixture.step(PoolInput::Adopt { record: record(1, 0, 200), runner: runner(1) });
    fixture.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    assert_eq!(fixture.actions, []);
    assert_eq!((fixture.pool.waiting(), fixture.pool.in_progress()), (0, 1));
}

#[test]
fn age_counts_towards_the_target_after_a_takeover() {
    let mut fixture = Fixture::new(settings());
    let mut old = record(1, 0, 200);
    old.age = Duration::from_secs(8);
    fixture.submit(&old);
    fixture.advance_time(2_000);
    assert_eq!(fixture.refusals(), [(1, NotRunReason::NoRunner)]);
}

#[test]
fn runner_updated_as_leaving_gets_no_requests() {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 4, true)));
    fixture.step(PoolInput::RunnerLeaving(runner(1)));
    fixture.submit(&record(1, 0, 200));
    let leaving = RunnerSpec { leaving: true, ..spec(1, 8, true) };
    fixture.step(PoolInput::RunnerUpdated(leaving));
    assert!(fixture.grants().is_empty());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 8, true)));
    assert_eq!(fixture.grants().len(), 1);
}
