//! Requests as runners receive them and responses as callers receive them.

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;

use super::harness::{DEADLINE, DESK_KEY, FleetHarness, ID, KEY, USAGE, call, call_with, events};

#[actix_rt::test]
async fn a_request_and_its_response_are_forwarded() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let headers = [
        (KEY, DESK_KEY),
        (DEADLINE, "5000"),
        ("x-comfreyway-tenant", "forged"),
        ("x-comfreyway-kv-hold", "forged"),
        ("x-other", "kept"),
    ];
    let response = call_with(&host, "id-1", "/lookup/a%20b?x=%2F", &headers, "body").await;
    assert_eq!((response.status, response.body.as_deref()), (200, Some("answer of r1")));
    assert_eq!(response.headers["x-comfreyway-runner-signature"], "r1");
    assert_eq!(response.headers[ID], "id-1");
    let run = &fleet.runners[0].runs()[0];
    assert_eq!((run.target.as_str(), &run.body[..]), ("/lookup/a%20b?x=%2F", &b"body"[..]));
    assert_eq!(run.headers["x-comfreyway-tenant"], "desk");
    assert_eq!(run.headers["x-comfreyway-expect-runner"], "r1");
    assert_eq!(run.headers["x-other"], "kept");
    assert!(!run.headers.contains_key(KEY) && !run.headers.contains_key("x-comfreyway-kv-hold"));
    let left: u64 = run.headers[DEADLINE].parse().unwrap();
    assert!(left < 5_000, "the elapsed time is not subtracted: {left}");
}

#[rstest]
#[case::unknown_path("/nowhere/", DESK_KEY, 404, "unknown-route")]
#[case::unknown_key("/lookup/", "stolen", 401, "unknown-key")]
#[case::public_route("/open/", "", 200, "")]
#[actix_rt::test]
async fn routes_and_keys_decide_status_and_reason(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let headers = [(KEY, key)];
    let headers = if key.is_empty() { &[][..] } else { &headers[..] };
    let response = call_with(&host, "id-1", path, headers, "").await;
    assert_eq!((response.status, response.reason().as_str()), (status, reason));
    assert_eq!(fleet.runners[0].runs().len(), usize::from(status == 200));
}

#[actix_rt::test]
async fn a_stream_is_forwarded_whole_with_its_token_usage() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(20));
    let host = fleet.start_host("h1").await;
    let headers = [(KEY, DESK_KEY), (USAGE, "900,60")];
    let response = call_with(&host, "id-1", "/tags/", &headers, "prompt").await;
    assert_eq!((response.status, response.body), (200, Some(events(20))));
    assert_eq!(fleet.runners[0].runs()[0].headers[USAGE], "900,60");
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let body = "x".repeat(100_001);
    let response = call_with(&host, "id-1", "/lookup/", &[(KEY, DESK_KEY)], &body).await;
    assert_eq!((response.status, response.reason().as_str()), (413, "too-large"));
    assert!(fleet.runners[0].runs().is_empty());
}

/// Request IDs of hosts that start at the same time must differ: a coordinator
/// does not reply to a request whose ID is already open.
#[actix_rt::test]
async fn requests_of_hosts_that_started_together_all_run() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let hosts =
        [fleet.start_host("h1").await, fleet.start_host("h2").await, fleet.start_host("h3").await];
    for round in 0..10 {
        for (number, host) in hosts.iter().enumerate() {
            let response = call(host, &format!("id-{round}-{number}"), "/lookup/").await;
            assert_eq!(response.status, 200);
        }
    }
    assert_eq!(fleet.runners[0].runs().len(), 30);
}
