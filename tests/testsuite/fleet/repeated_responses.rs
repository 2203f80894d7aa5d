//! Runners that send a second copy of a response on the same connection.

use std::collections::BTreeSet;

use comfreyway_testkit::repeating_runner::RepeatingRunner;
use rstest::rstest;

use super::harness::{FleetHarness, Response, call, runner_entry};

const NOT_EXECUTED: &str = "x-comfreyway-not-executed: 1\r\n";

async fn call_repeating(path: &str, first: (u16, &str)) -> (Response, RepeatingRunner) {
    let fleet = FleetHarness::new();
    let runner = RepeatingRunner::start("r1", first).unwrap();
    let entry = runner_entry(runner.address(), "survey", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", path).await;
    (response, runner)
}

#[actix_rt::test]
async fn a_second_copy_of_a_rejection_does_not_make_a_request_run_again_or_count_as_not_run() {
    let (response, runner) = call_repeating("/lookup/count/", (503, NOT_EXECUTED)).await;
    let runs = runner.arrivals().iter().filter(|arrival| arrival.ran).count();
    assert!(runs <= 1 && (runs == 0 || response.status != 503), "{runs} runs, {response:?}");
}

/// Also a failure is a response after which the request is sent again.
#[rstest]
#[case::rejection("/lookup/count/", (503, NOT_EXECUTED))]
#[case::other_runner("/lookup/count/", (421, NOT_EXECUTED))]
#[case::failure("/lookup/", (500, ""))]
#[actix_rt::test]
async fn no_request_is_sent_twice_on_the_same_connection(
    #[case] path: &str,
    #[case] first: (u16, &str),
) {
    let (_, runner) = call_repeating(path, first).await;
    let mut seen = BTreeSet::new();
    for arrival in runner.arrivals() {
        let sent = (arrival.connection, arrival.request_id);
        assert!(seen.insert(sent.clone()), "{sent:?} came twice");
    }
}
