//! Faulty responses of runners.

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;

use super::harness::{FleetHarness, call, events, raw_call};

#[actix_rt::test]
async fn a_broken_stream_resumes_on_another_runner_at_the_next_event() {
    let mut fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::CutAfter(7));
    let host = fleet.start_host("h1").await;
    fleet = fleet.with_runner("dala", "e2", RunnerMode::Stream(20));
    let response = call(&host, "id-1", "/report/").await;
    assert_eq!((response.status, response.body), (200, Some(events(20))));
    let resumed = fleet.runners[1].runs();
    // Only a request that was sent to e1 first is resumed.
    if let Some(run) = resumed.iter().find(|run| run.headers.contains_key("last-event-id")) {
        assert_eq!(run.headers["last-event-id"], "7");
        assert_eq!(response.headers["x-comfreyway-runner-signature"], "e1");
    }
}

#[actix_rt::test]
async fn a_non_resumable_stream_is_cut_visibly_and_runs_once() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::CutAfter(3)).with_runner(
        "dala",
        "e2",
        RunnerMode::CutAfter(3),
    );
    let host = fleet.start_host("h1").await;
    let bytes = raw_call(&host, "/tags/").await;
    assert!(bytes.starts_with("HTTP/1.1 200") && bytes.contains("data: e3"), "{bytes}");
    assert!(!bytes.ends_with("0\r\n\r\n") && !bytes.contains("id: 4"), "{bytes}");
    assert_eq!(fleet.runners.iter().map(|runner| runner.runs().len()).sum::<usize>(), 1);
}

/// A non-idempotent request that may have run is never retried and never
/// reported as not run.
#[rstest]
#[case::breaks(RunnerMode::Disconnect)]
#[case::foreign(RunnerMode::WrongRequestId)]
#[case::unsigned(RunnerMode::Unsigned)]
#[actix_rt::test]
async fn a_faulty_response_is_unknown_and_the_request_runs_once(#[case] mode: RunnerMode) {
    let fleet =
        FleetHarness::new().with_runner("survey", "r1", mode).with_runner("survey", "r2", mode);
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!((response.status, response.reason().as_str()), (502, "upstream-broke"));
    assert_eq!(fleet.runners.iter().map(|runner| runner.runs().len()).sum::<usize>(), 1);
}

#[rstest]
#[case::breaks(RunnerMode::Disconnect)]
#[case::fails(RunnerMode::Fails)]
#[case::foreign(RunnerMode::WrongRequestId)]
#[actix_rt::test]
async fn an_idempotent_request_is_retried_on_a_second_runner(#[case] mode: RunnerMode) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", mode).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    );
    let host = fleet.start_host("h1").await;
    for number in 0..6 {
        let response = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(response.body.as_deref(), Some("answer of r2"), "request {number}");
    }
}

#[actix_rt::test]
async fn a_request_that_a_runner_did_not_run_goes_to_another_runner() {
    let fleet = FleetHarness::new()
        .with_runner("survey", "r1", RunnerMode::NotExecuted)
        .with_runner("survey", "r2", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!(response.body.as_deref(), Some("answer of r2"));
}

#[actix_rt::test]
async fn a_runner_whose_address_another_runner_took_over_is_not_used() {
    let fleet = FleetHarness::new()
        .with_runner("survey", "r1", RunnerMode::Misdirected)
        .with_runner("survey", "r2", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    for number in 0..4 {
        let response = call(&host, &format!("id-{number}"), "/lookup/count/").await;
        assert_eq!(response.body.as_deref(), Some("answer of r2"));
    }
}
