//! Answers that runners spoil.

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;

use super::site::{Site, call, events, raw_call};

#[actix_rt::test]
async fn a_broken_stream_goes_on_at_another_runner_at_the_exact_event() {
    let mut site = Site::new().with_runner("dala", "e1", RunnerMode::CutAfter(7));
    let host = site.host("h1").await;
    site = site.with_runner("dala", "e2", RunnerMode::Stream(20));
    // The first request meets the runner that breaks off.
    let answer = call(&host, "id-1", "/report/").await;
    assert_eq!((answer.status, answer.body), (200, Some(events(20))));
    let resumed = site.runners[1].runs();
    if let Some(run) = resumed.iter().find(|run| run.headers.contains_key("last-event-id")) {
        assert_eq!(run.headers["last-event-id"], "7");
        assert_eq!(answer.headers["x-comfreyway-runner-signature"], "e1");
    }
}

#[actix_rt::test]
async fn a_stream_that_may_not_go_on_is_visibly_cut_and_runs_once() {
    let site = Site::new().with_runner("dala", "e1", RunnerMode::CutAfter(3)).with_runner(
        "dala",
        "e2",
        RunnerMode::CutAfter(3),
    );
    let host = site.host("h1").await;
    let bytes = raw_call(&host, "/tags/").await;
    assert!(bytes.starts_with("HTTP/1.1 200") && bytes.contains("data: e3"), "{bytes}");
    assert!(!bytes.ends_with("0\r\n\r\n") && !bytes.contains("id: 4"), "{bytes}");
    assert_eq!(site.runners.iter().map(|runner| runner.runs().len()).sum::<usize>(), 1);
}

/// Whatever may have run is never sent again where that could do harm, and is
/// never called "not run".
#[rstest]
#[case::breaks(RunnerMode::Disconnect)]
#[case::foreign(RunnerMode::WrongRequestId)]
#[case::unsigned(RunnerMode::Unsigned)]
#[actix_rt::test]
async fn a_spoilt_answer_is_unknown_and_runs_once(#[case] manner: RunnerMode) {
    let site = Site::new().with_runner("survey", "r1", manner).with_runner("survey", "r2", manner);
    let host = site.host("h1").await;
    let answer = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!((answer.status, answer.reason().as_str()), (502, "upstream-broke"));
    assert_eq!(site.runners.iter().map(|runner| runner.runs().len()).sum::<usize>(), 1);
}

#[rstest]
#[case::breaks(RunnerMode::Disconnect)]
#[case::fails(RunnerMode::Fails)]
#[case::foreign(RunnerMode::WrongRequestId)]
#[actix_rt::test]
async fn an_idempotent_request_tries_a_second_runner(#[case] manner: RunnerMode) {
    let site = Site::new().with_runner("survey", "r1", manner).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    );
    let host = site.host("h1").await;
    for number in 0..6 {
        let answer = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(answer.body.as_deref(), Some("answer of r2"), "request {number}");
    }
}

#[actix_rt::test]
async fn a_runner_that_ran_nothing_leaves_the_request_to_another() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::NotExecuted).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    );
    let host = site.host("h1").await;
    let answer = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!(answer.body.as_deref(), Some("answer of r2"));
}

#[actix_rt::test]
async fn an_address_that_another_runner_took_over_is_used_no_more() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Misdirected).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    );
    let host = site.host("h1").await;
    for number in 0..4 {
        let answer = call(&host, &format!("id-{number}"), "/lookup/count/").await;
        assert_eq!(answer.body.as_deref(), Some("answer of r2"));
    }
}
