//! Runners in trouble that respond with a status that HTTP doesn't define.

use std::net::SocketAddr;

use comfreyway_testkit::{
    daemon::unused_address,
    early_runner::{ConnectionEnd, EarlyResponse, EarlyRunner},
    fleet_runner::RunnerMode,
};
use rstest::rstest;

use super::{
    cut_off::{CutOff, ask},
    harness::{FleetHarness, call, runner_entry},
};

/// Returns a whole, signed response.
fn response(status_line: &'static str, head: &str) -> EarlyResponse {
    EarlyResponse {
        status_line,
        head: format!("{head}content-type: application/json\r\ncontent-length: 2\r\n"),
        body: b"{}".to_vec(),
        end: ConnectionEnd::CloseAfterBody,
        ..EarlyResponse::default()
    }
}

fn start_runner(fleet: &FleetHarness, response: EarlyResponse) -> EarlyRunner {
    let runner = EarlyRunner::start(unused_address().unwrap(), response).unwrap();
    let entry = runner_entry(runner.address(), "survey", "ready").to_string();
    fleet.store.put("servers/r0", entry.as_bytes());
    runner
}

#[rstest]
#[actix_rt::test]
async fn a_response_with_an_invalid_status_is_not_delivered(
    #[values(
        "HTTP/1.1 000",
        "HTTP/1.1 099",
        "HTTP/1.1 600",
        "HTTP/1.1 999",
        "HTTP/1.1 101",
        "HTTP/1.1 20",
        "HTTP/1.1 2000"
    )]
    status_line: &'static str,
) {
    let fleet = FleetHarness::new();
    let _runner = start_runner(&fleet, response(status_line, ""));
    let host = fleet.start_host("h1").await;
    let res = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!((res.status, res.reason().as_str()), (502, "upstream-broke"), "{res:?}");
}

/// The statement of a runner that it ran nothing holds with any status.
#[actix_rt::test]
async fn a_request_that_was_rejected_with_an_invalid_status_has_not_run() {
    let fleet = FleetHarness::new();
    let _runner =
        start_runner(&fleet, response("HTTP/1.1 600", "x-comfreyway-not-executed: 1\r\n"));
    let host = fleet.start_host("h1").await;
    let res = call(&host, "id-1", "/lookup/count/").await;
    assert_eq!((res.status, res.reason().as_str()), (503, "turned-away"), "{res:?}");
}

#[rstest]
#[case::zero("HTTP/1.1 000")]
#[case::above_599("HTTP/1.1 600")]
#[case::not_requested_upgrade("HTTP/1.1 101")]
#[actix_rt::test]
async fn a_response_with_an_invalid_status_through_another_host_is_not_delivered(
    #[case] status_line: &'static str,
) {
    let hosts = CutOff::new(FleetHarness::new(), 1).await;
    let start =
        |address: SocketAddr| EarlyRunner::start(address, response(status_line, "")).unwrap();
    let starting = hosts.start_runners("id-1", start);
    let (res, _runners) = futures_util::join!(ask(&hosts.near, "id-1", 7_000), starting);
    assert_eq!(hosts.forwarded("id-1"), 1, "the request was forwarded again");
    assert_eq!((res.status, res.reason().as_str()), (502, "upstream-broke"), "{res:?}");
}

#[actix_rt::test]
async fn a_request_is_retried_after_an_invalid_status_where_its_class_allows_that() {
    let fleet = FleetHarness::new();
    let _runner = start_runner(&fleet, response("HTTP/1.1 600", ""));
    let host = fleet.start_host("h1").await;
    let fleet = fleet.with_runner("survey", "r1", RunnerMode::Whole);
    for number in 0..10 {
        let res = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(res.status, 200, "{res:?}");
    }
    assert!(host.log().contains("event=CF0507"), "no request was retried");
    drop(fleet);
}
