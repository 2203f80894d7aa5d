//! Limits, placement and shares that follow what is observed.

mod pool_fixture;

use std::time::Duration;

use comfreyway_core::{
    ids::RequestId,
    pool::{LoadReport, PoolInput, RequestState, WaitCause},
    request::BlockHash,
};
use rstest::rstest;

use self::pool_fixture::{Bench, complete, record, runner, settings, spec};

/// Serves requests one after the other with so much time for prefill and
/// between tokens.
fn serve(bench: &mut Bench, ids: std::ops::Range<u128>, prefill_ms: u64, between_ms: u64) {
    for n in ids {
        bench.submit(&record(n, 0, 1_000));
        assert_eq!(bench.grants().len(), 1);
        let id = RequestId::new(n);
        bench.step(PoolInput::Dispatched(id)).pass(prefill_ms);
        bench.step(PoolInput::FirstToken(id)).pass(between_ms * 20);
        let end = complete(1_000, 21, prefill_ms, prefill_ms + between_ms * 20);
        bench.step(PoolInput::Ended { id, end });
    }
}

#[test]
fn slowed_engine_loses_limit_within_seconds_and_regains_it_slowly() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    serve(&mut bench, 1..40, 100, 30);
    let limit = |bench: &Bench| bench.pool.runners(bench.now)[0].sequence_limit;
    let usual = limit(&bench);
    let slowed_at = bench.now;
    serve(&mut bench, 100..103, 400, 120);
    assert!(bench.now.since(slowed_at) < Duration::from_secs(10));
    let slowed = limit(&bench);
    assert!(slowed * 2 <= usual, "{slowed} of {usual}");
    serve(&mut bench, 200..203, 100, 30);
    assert!(limit(&bench) <= slowed + 3, "the limit came back at once");
}

#[test]
fn faster_of_unlike_engines_is_preferred_for_a_long_prompt() {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    serve(&mut bench, 1..10, 300, 60);
    bench.step(PoolInput::RunnerLeaving(runner(1)));
    bench.step(PoolInput::RunnerUpdated(spec(2, 24, true)));
    serve(&mut bench, 11..20, 100, 20);
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    bench.submit(&record(30, 1, 6_000));
    assert_eq!(bench.grants(), [(30, runner(2))]);
}

#[rstest]
#[case::cached_and_idle(0, 1)]
#[case::cached_but_long_queue(20_000, 2)]
fn cached_prefix_is_weighed_against_the_wait(#[case] queued_tokens: u32, #[case] expected: u8) {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    let shared: Vec<_> = (0..12).map(BlockHash).collect();
    let mut first = record(1, 0, 3_000);
    first.prefix = shared.clone();
    bench.submit(&first).pass(200).step(PoolInput::FirstToken(RequestId::new(1)));
    if queued_tokens > 0 {
        bench.submit(&record(10, 0, queued_tokens));
    }
    bench.step(PoolInput::RunnerUpdated(spec(2, 24, true)));
    let mut again = record(2, 0, 3_000);
    again.prefix = shared;
    bench.submit(&again);
    assert_eq!(bench.grants(), [(2, runner(expected))]);
}

#[test]
fn request_waits_for_a_prefix_that_is_being_prefilled() {
    let mut bench = Bench::new(settings());
    for n in 1..=4 {
        bench.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    let shared: Vec<_> = (0..100).map(BlockHash).collect();
    let mut first = record(1, 1, 25_600);
    first.prefix = shared.clone();
    bench.submit(&first);
    let holder = bench.grants()[0].1.clone();
    let mut again = record(2, 1, 25_700);
    again.prefix = shared;
    bench.submit(&again);
    assert_eq!(bench.grants(), [], "the prefix would be prefilled twice");
    let state = bench.pool.explain(RequestId::new(2)).unwrap().state;
    assert_eq!(state, RequestState::Waiting(WaitCause::Prefix));
    bench.now = bench.now + Duration::from_secs(2);
    bench.step(PoolInput::FirstToken(RequestId::new(1)));
    assert_eq!(bench.grants(), [(2, holder)]);
}

#[test]
fn request_does_not_wait_for_the_prefix_of_a_runner_that_leaves() {
    let mut bench = Bench::new(settings());
    for n in 1..=4 {
        bench.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    let shared: Vec<_> = (0..100).map(BlockHash).collect();
    for id in 1..=2 {
        let mut long = record(id, 1, 25_600);
        long.prefix = shared.clone();
        bench.submit(&long);
    }
    let holder = bench.pool.explain(RequestId::new(1)).unwrap().state;
    let RequestState::Granted(Some(holder)) = holder else { panic!("{holder:?}") };
    bench.step(PoolInput::RunnerLeaving(holder.clone()));
    assert_eq!(bench.grants().len(), 1);
    assert_ne!(bench.grants()[0].1, holder);
}

#[test]
fn short_request_is_not_sent_behind_a_long_prefill() {
    let mut bench = Bench::new(settings());
    for n in 1..=2 {
        bench.step(PoolInput::RunnerUpdated(spec(n, 24, true)));
    }
    bench.submit(&record(1, 1, 40_000)).submit(&record(2, 1, 40_000));
    assert_eq!(bench.grants(), [], "one runner stays free of long prefill");
    bench.submit(&record(3, 1, 200));
    assert_eq!(bench.grants().len(), 1);
}

#[rstest]
#[case::fresh(0, 10)]
#[case::stale(2_000, 3)]
#[case::very_stale(20_000, 0)]
fn report_of_foreign_load_weighs_less_with_age(#[case] age_ms: u64, #[case] expected: u32) {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    let age = Duration::from_millis(age_ms);
    let report = LoadReport { running: 10, queued: 0, tokens: 0, age };
    bench.step(PoolInput::Load { runner: runner(1), report });
    assert_eq!(bench.pool.runners(bench.now)[0].external_sequences, expected);
}

#[rstest]
#[case::single_report(1, 4, 24)]
#[case::lasting_queue(2, 4, 8)]
#[case::usual_queue(5, 2, 24)]
fn lasting_queue_in_the_engine_lowers_the_limit(
    #[case] reports: u32,
    #[case] queued: u32,
    #[case] limit: u32,
) {
    let mut bench = Bench::new(settings());
    bench.step(PoolInput::RunnerUpdated(spec(1, 24, true)));
    for _ in 0..reports {
        let report = LoadReport { running: 8, queued, tokens: 0, age: Duration::ZERO };
        bench.step(PoolInput::Load { runner: runner(1), report });
    }
    assert_eq!(bench.pool.runners(bench.now)[0].sequence_limit, limit);
}

#[test]
fn large_workspace_does_not_starve_a_small_one() {
    let mut bench = Bench::new(settings().with_share_window(3_000));
    bench.step(PoolInput::RunnerUpdated(spec(1, 1, true)));
    for n in 1..=50 {
        bench.submit(&record(n, 1, 1_000));
    }
    let mut small = record(100, 1, 1_000);
    small.workspace = "small".parse().unwrap();
    bench.submit(&small);
    let mut running = 1;
    let mut served = 0;
    while running != 100 {
        let end = complete(1_000, 4, 10, 20);
        bench.step(PoolInput::Ended { id: RequestId::new(running), end });
        running = bench.grants()[0].0;
        served += 1;
    }
    assert!(served <= 3, "{served} requests of the large workspace went first");
}
