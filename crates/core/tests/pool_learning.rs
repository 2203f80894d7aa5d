//! Limits, placement and shares that adapt to observations.

mod pool_fixture;

use std::time::Duration;

use comfreyway_core::{
    ids::RequestId,
    pool::{LoadReport, PoolInput, RequestState, WaitCause},
    request::BlockHash,
};
use rstest::rstest;

use self::pool_fixture::{Fixture, complete, record, runner, settings, spec};

/// Serves requests one after the other, with these times for the prefill and
/// between tokens.
fn serve(fixture: &mut Fixture, ids: std::ops::Range<u128>, prefill_ms: u64, between_ms: u64) {
    for n in ids {
        fixture.submit(&record(n, 0, 1_000));
        assert_eq!(fixture.grants().len(), 1);
        let id = RequestId::new(n);
        fixture.step(PoolInput::Dispatched(id)).advance_time(prefill_ms);
        fixture.step(PoolInput::FirstToken(id)).advance_time(between_ms * 20);
        let end = complete(1_000, 21, prefill_ms, prefill_ms + between_ms * 20);
        fixture.step(PoolInput::Ended { id, end });
    }
}

#[test]
fn limit_of_a_slowed_engine_falls_within_seconds_and_recovers_slowly() {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    serve(&mut fixture, 1..40, 100, 30);
    let limit = |fixture: &Fixture| fixture.pool.runners(fixture.now)[0].sequence_limit;
    let normal = limit(&fixture);
    let slowed_at = fixture.now;
    serve(&mut fixture, 100..103, 400, 120);
    assert!(fixture.now.since(slowed_at) < Duration::from_secs(10));
    let slowed = limit(&fixture);
    assert!(slowed * 2 <= normal, "{slowed} of {normal}");
    serve(&mut fixture, 200..203, 100, 30);
    assert!(limit(&fixture) <= slowed + 3, "the limit recovered at once");
}

#[test]
fn faster_engine_is_preferred_for_a_long_prompt() {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    serve(&mut fixture, 1..10, 300, 60);
    fixture.step(PoolInput::RunnerLeaving(runner(1)));
    fixture.step(PoolInput::RunnerUpdated(spec(2, 24, true)));
    serve(&mut fixture, 11..20, 100, 20);
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    fixture.submit(&record(30, 1, 6_000));
    assert_eq!(fixture.grants(), [(30, runner(2))]);
}

#[rstest]
#[case::cached_and_idle(0, 1)]
#[case::cached_but_long_queue(20_000, 2)]
fn cached_prefix_is_weighed_against_the_wait(#[case] queued_tokens: u32, #[case] expected: u8) {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    let shared: Vec<_> = (0..12).map(BlockHash).collect();
    let mut first = record(1, 0, 3_000);
    first.prefix = shared.clone();
    fixture.submit(&first).advance_time(200).step(PoolInput::FirstToken(RequestId::new(1)));
    if queued_tokens > 0 {
        fixture.submit(&record(10, 0, queued_tokens));
    }
    fixture.step(PoolInput::RunnerUpdated(spec(2, 24, true)));
    let mut again = record(2, 0, 3_000);
    again.prefix = shared;
    fixture.submit(&again);
    assert_eq!(fixture.grants(), [(2, runner(expected))]);
}

#[test]
fn request_waits_for_a_prefix_that_is_being_prefilled() {
    let mut fixture = Fixture::new(settings());
    for n in 1..=4 {
        fixture.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    let shared: Vec<_> = (0..100).map(BlockHash).collect();
    let mut first = record(1, 1, 25_600);
    first.prefix = shared.clone();
    fixture.submit(&first);
    let holder = fixture.grants()[0].1.clone();
    let mut again = record(2, 1, 25_700);
    again.prefix = shared;
    fixture.submit(&again);
    assert_eq!(fixture.grants(), [], "the prefix would be prefilled twice");
    let state = fixture.pool.explain(RequestId::new(2)).unwrap().state;
    assert_eq!(state, RequestState::Waiting(WaitCause::Prefix));
    fixture.now = fixture.now + Duration::from_secs(2);
    fixture.step(PoolInput::FirstToken(RequestId::new(1)));
    assert_eq!(fixture.grants(), [(2, holder)]);
}

#[test]
fn request_does_not_wait_for_the_prefix_of_a_leaving_runner() {
    let mut fixture = Fixture::new(settings());
    for n in 1..=4 {
        fixture.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    let shared: Vec<_> = (0..100).map(BlockHash).collect();
    for id in 1..=2 {
        let mut long = record(id, 1, 25_600);
        long.prefix = shared.clone();
        fixture.submit(&long);
    }
    let holder = fixture.pool.explain(RequestId::new(1)).unwrap().state;
    let RequestState::Granted(Some(holder)) = holder else { panic!("{holder:?}") };
    fixture.step(PoolInput::RunnerLeaving(holder.clone()));
    assert_eq!(fixture.grants().len(), 1);
    assert_ne!(fixture.grants()[0].1, holder);
}

#[test]
fn short_request_is_not_sent_behind_a_long_prefill() {
    let mut fixture = Fixture::new(settings());
    for n in 1..=2 {
        fixture.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    fixture.submit(&record(1, 1, 40_000)).submit(&record(2, 1, 40_000));
    assert_eq!(fixture.grants(), [], "one runner stays free of long prefill");
    fixture.submit(&record(3, 1, 200));
    assert_eq!(fixture.grants().len(), 1);
}

#[rstest]
#[case::fresh(0, 10)]
#[case::stale(2_000, 3)]
#[case::very_stale(20_000, 0)]
fn report_of_external_load_weighs_less_with_age(#[case] age_ms: u64, #[case] expected: u32) {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    let age = Duration::from_millis(age_ms);
    let report = LoadReport { running: 10, queued: 0, tokens: 0, age };
    fixture.step(PoolInput::Load { runner: runner(1), report });
    assert_eq!(fixture.pool.runners(fixture.now)[0].external_sequences, expected);
}

#[rstest]
#[case::single_report(1, 4, 24)]
#[case::persistent_queue(2, 4, 8)]
#[case::normal_queue(5, 2, 24)]
fn persistent_queue_in_the_engine_lowers_the_limit(
    #[case] reports: u32,
    #[case] queued: u32,
    #[case] limit: u32,
) {
    let mut fixture = Fixture::new(settings());
    fixture.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    for _ in 0..reports {
        let report = LoadReport { running: 8, queued, tokens: 0, age: Duration::ZERO };
        fixture.step(PoolInput::Load { runner: runner(1), report });
    }
    assert_eq!(fixture.pool.runners(fixture.now)[0].sequence_limit, limit);
}

#[test]
fn large_workspace_does_not_starve_a_small_one() {
    let mut fixture = Fixture::new(settings().with_share_window(3_000));
    fixture.step(PoolInput::RunnerUpdated(spec(1, 1, true)));
    for n in 1..=50 {
        fixture.submit(&record(n, 1, 1_000));
    }
    let mut small = record(100, 1, 1_000);
    small.workspace = "small".parse().unwrap();
    fixture.submit(&small);
    let mut running = 1;
    let mut served = 0;
    while running != 100 {
        let end = complete(1_000, 4, 10, 20);
        fixture.step(PoolInput::Ended { id: RequestId::new(running), end });
        running = fixture.grants()[0].0;
        served += 1;
    }
    assert!(served <= 3, "{served} requests of the large workspace went first");
}
