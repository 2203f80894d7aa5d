//! Streams whose time limits change, or whose callers wait for longer than these.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::Signal,
    fleet_runner::{FleetRunner, RunnerMode},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::Daemon;

use super::{
    super::harness::{
        DEADLINE, DESK_KEY, FleetHarness, KEY, Response, call, call_with, configuration,
    },
    BROKEN_AFTER, EVENTS, begin_broken, continued, take_up, wait_for_line, wait_for_record,
    wait_until_known,
};

/// Time limit after a change; a view of the store is verified within it.
const SHORT_LIMIT_MS: u64 = 1_500;

/// Longer than streams are remembered that begin after a change.
const AFTER_SHORT_LIMIT: Duration = Duration::from_millis(2 * SHORT_LIMIT_MS + 500);

/// Configuration in which streams of the resumable route have this time limit.
fn with_time_limit(version: u64, time_limit_ms: u64) -> Value {
    let mut configuration = configuration(version);
    report_route(&mut configuration)["timeoutMs"] = json!(time_limit_ms);
    configuration
}

fn report_route(configuration: &mut Value) -> &mut Value {
    let routes = configuration["routes"].as_array_mut().unwrap();
    routes.iter_mut().find(|route| route["name"] == "report").unwrap()
}

async fn wait_for_configuration(host: &Daemon, version: u64) {
    wait_for_line(host, &format!("event=CF0511 version={version} ")).await;
}

/// What operators change while a stream may still be taken up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    ShorterLimit,
    ShorterLimitTwice,
    RouteAway,
    NotResumable,
}

/// Writes the configurations of a change. The last one admits streams again, for a short time.
async fn change_configuration(fleet: &FleetHarness, hosts: &[&Daemon], change: Change) {
    let mut between = configuration(2);
    match change {
        Change::ShorterLimit => between = with_time_limit(2, SHORT_LIMIT_MS),
        Change::ShorterLimitTwice => between = with_time_limit(2, 2 * SHORT_LIMIT_MS),
        Change::RouteAway => {
            let routes = between["routes"].as_array_mut().unwrap();
            routes.retain(|route| route["name"] != "report");
        }
        Change::NotResumable => report_route(&mut between)["resumable"] = json!(false),
    }
    for configuration in [between, with_time_limit(3, SHORT_LIMIT_MS)] {
        fleet.put_configuration(configuration.clone());
        for host in hosts {
            wait_for_configuration(host, configuration["version"].as_u64().unwrap()).await;
        }
    }
}

/// Asserts that a stream was not taken up, because of its version.
fn assert_refused(response: &Response, other: &FleetRunner) {
    let reason = response.reason();
    assert!(matches!(&*reason, "version-unknown" | "version-gone"), "{response:?}");
    assert_eq!((response.status, continued(other)), (503, 0));
}

/// Streams that began under a longer time limit, and the versions that may have begun them,
/// were forgotten after twice the shorter one. Such a stream then went on at the version that
/// was left.
#[rstest]
#[case::same_host(Change::ShorterLimit, 0)]
#[case::other_host(Change::ShorterLimit, 1)]
#[case::other_host_after_two_changes(Change::ShorterLimitTwice, 1)]
#[case::other_host_after_the_route_was_away(Change::RouteAway, 1)]
#[case::other_host_after_it_was_not_resumable(Change::NotResumable, 1)]
#[actix_rt::test]
async fn a_stream_stays_at_its_version_after_its_time_limit_was_lowered(
    #[case] change: Change,
    #[case] taken_up_at: usize,
) {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    begin_broken(&hosts[0], "began", &first).await;
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    change_configuration(&fleet, &hosts.each_ref(), change).await;
    fleet.store.delete("servers/e1");
    for host in &hosts {
        wait_until_known(host, &other).await;
        wait_for_line(host, "event=CF0523 runner=e1").await;
    }
    actix_rt::time::sleep(AFTER_SHORT_LIMIT).await;
    let response = take_up(&hosts[taken_up_at], "again", "began").await;
    assert_refused(&response, &other);
    // New streams begin at the version that is left.
    assert_eq!(call(&hosts[taken_up_at], "new", "/report/").await.status, 200);
}

/// A host that starts knows neither the former time limit nor the version that has left but
/// from the store.
#[rstest]
#[case::changed_before_the_stop(true)]
#[case::changed_while_no_host_was_up(false)]
#[actix_rt::test]
async fn a_host_that_starts_after_a_time_limit_was_lowered_joins_no_versions(
    #[case] changed_before: bool,
) {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let mut host = fleet.start_host("h1").await;
    begin_broken(&host, "began", &first).await;
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    wait_for_record(&fleet, &["v1", "v2"]).await;
    let change = || change_configuration(&fleet, &[], Change::ShorterLimit);
    if changed_before {
        change().await;
        wait_for_configuration(&host, 3).await;
        fleet.store.delete("servers/e1");
        wait_for_line(&host, "event=CF0523 runner=e1").await;
    }
    host.signal(Signal::Kill).unwrap();
    host.exited().await.unwrap();
    if !changed_before {
        change().await;
        fleet.store.delete("servers/e1");
    }
    // The store may still have the stream itself, whose lease is shorter than this test.
    for key in fleet.store.list("comfreyway/streams/") {
        fleet.store.delete(&key);
    }
    let host = fleet.start_host("h2").await;
    wait_until_known(&host, &other).await;
    actix_rt::time::sleep(AFTER_SHORT_LIMIT).await;
    let response = take_up(&host, "again", "began").await;
    assert_refused(&response, &other);
    assert_eq!(call(&host, "new", "/report/").await.status, 200);
}

/// The operators' time limit is shorter than what callers wait for. They come back within
/// their own time, after twice the time limit had made hosts forget their streams.
#[actix_rt::test]
async fn a_stream_stays_at_its_version_for_as_long_as_its_caller_waits() {
    let fleet = FleetHarness::new();
    fleet.put_configuration(with_time_limit(2, SHORT_LIMIT_MS));
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::CutAfter(BROKEN_AFTER));
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    let headers = [(KEY, DESK_KEY), (DEADLINE, "8000")];
    let response = call_with(&hosts[0], "began", "/report/", &headers, "question").await;
    assert_eq!(response.headers["x-comfreyway-runner-signature"], first.name());
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    fleet.store.delete("servers/e1");
    for host in &hosts {
        wait_until_known(host, &other).await;
        wait_for_line(host, "event=CF0523 runner=e1").await;
    }
    actix_rt::time::sleep(AFTER_SHORT_LIMIT).await;
    for (number, host) in hosts.iter().enumerate() {
        let response = take_up(host, &format!("again-{number}"), "began").await;
        assert_refused(&response, &other);
    }
}
