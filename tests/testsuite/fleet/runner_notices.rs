//! Runners that say in their responses that they are leaving, or ask for rest.

use comfreyway_testkit::{
    daemon::eventually,
    fleet_runner::RunnerMode,
    store::{StoreFaults, StoreOutage},
};
use rstest::rstest;
use serde_json::json;

use super::harness::{FleetHarness, call, runner_entry};
use crate::support::Daemon;

/// Waits until a host has logged this text.
async fn logged(host: &Daemon, text: &str) {
    let log = || async { host.log().contains(text).then_some(()) };
    eventually(log).await.unwrap_or_else(|| panic!("the host did not log {text}"));
}

#[rstest]
#[case::whole("survey", "/lookup/", RunnerMode::Leaving, RunnerMode::Whole)]
#[case::stream("dala", "/report/", RunnerMode::LeavingStream(3), RunnerMode::Stream(3))]
#[actix_rt::test]
async fn a_runner_that_says_it_is_leaving_gets_nothing_new_from_any_host(
    #[case] upstream: &str,
    #[case] path: &str,
    #[case] leaving: RunnerMode,
    #[case] other: RunnerMode,
) {
    let fleet = FleetHarness::new().with_runner(upstream, "r1", leaving);
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    let response = call(&hosts[0], "id-0", path).await;
    assert_eq!(response.status, 200);
    let fleet = fleet.with_runner(upstream, "r2", other);
    for host in &hosts {
        logged(host, "CF0522 runner=r1").await;
        logged(host, "CF0521 runner=r2").await;
    }
    for number in 1..8 {
        let host = &hosts[number % 2];
        let response = call(host, &format!("id-{number}"), path).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.runners[0].arrivals(), 1);
    assert_eq!(fleet.runners[1].runs().len(), 7);
}

#[actix_rt::test]
async fn a_runner_that_says_it_is_leaving_gets_nothing_while_the_store_is_away() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Leaving).with_runner(
        "survey",
        "r2",
        RunnerMode::Leaving,
    );
    let host = fleet.start_host("h1").await;
    fleet.store.set_faults(StoreFaults::new().with_outage(StoreOutage::Silent));
    for number in 0..2 {
        assert_eq!(call(&host, &format!("id-{number}"), "/lookup/").await.status, 200);
    }
    assert_eq!(call(&host, "id-2", "/lookup/").await.status, 503);
    assert_eq!(fleet.runners.iter().map(|runner| runner.arrivals()).sum::<usize>(), 2);
}

#[actix_rt::test]
async fn a_runner_that_asks_for_rest_is_left_alone_by_that_host() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Rest(60_000));
    let host = fleet.start_host("h1").await;
    let fleet = fleet.with_runner("survey", "r2", RunnerMode::Whole);
    logged(&host, "CF0521 runner=r2").await;
    let mut number = 0;
    while fleet.runners[0].arrivals() == 0 {
        number += 1;
        call(&host, &format!("first-{number}"), "/lookup/").await;
    }
    logged(&host, "CF0525 runner=r1 rest_ms=60000").await;
    for number in 0..20 {
        let response = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(response.body.as_deref(), Some("answer of r2"));
    }
    assert_eq!(fleet.runners[0].arrivals(), 1);
}

#[rstest]
#[case::date("Wed, 21 Oct 2037 07:28:00 GMT")]
#[case::negative("-5")]
#[case::not_a_number("NaN")]
#[case::empty("")]
#[actix_rt::test]
async fn a_header_that_gives_no_seconds_asks_for_no_rest(#[case] value: &'static str) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::RestHeader(value));
    let host = fleet.start_host("h1").await;
    call(&host, "id-0", "/lookup/").await;
    fleet.runners[0].set_mode(RunnerMode::Whole);
    let served = || async {
        let response = call(&host, "id-1", "/lookup/").await;
        (response.status == 200).then_some(())
    };
    eventually(served).await.expect("the runner was left alone");
}

#[actix_rt::test]
async fn a_huge_rest_ends_with_the_run() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::RestHeader("1e300"));
    let host = fleet.start_host("h1").await;
    call(&host, "id-0", "/lookup/").await;
    logged(&host, "CF0525 runner=r1 rest_ms=3600000").await;
    fleet.runners[0].set_mode(RunnerMode::Whole);
    let mut entry = runner_entry(fleet.runners[0].address(), "survey", "ready");
    entry["born"] = json!(2);
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let served = || async {
        let response = call(&host, "id-1", "/lookup/").await;
        (response.status == 200).then_some(())
    };
    eventually(served).await.expect("the restarted runner was left alone");
}

#[actix_rt::test]
async fn a_host_that_connects_later_is_told_which_runners_are_leaving() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Leaving);
    let first = fleet.start_host("h1").await;
    assert_eq!(call(&first, "id-0", "/lookup/").await.status, 200);
    logged(&first, "CF0522 runner=r1").await;
    let second = fleet.start_host("h2").await;
    logged(&second, "CF0522 runner=r1").await;
    assert_eq!(fleet.runners[0].arrivals(), 1);
}
