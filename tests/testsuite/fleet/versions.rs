//! Streams while runners of several software versions serve side by side.

mod clocks;
mod lost_records;
mod retention;

use std::time::Duration;

use comfreyway_testkit::{
    daemon::Signal,
    fleet_runner::{FleetRunner, RunnerMode},
};

use rstest::rstest;

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, KEY, Response, call, call_with, events};

/// Key of the store's record of versions.
const RECORD: &str = "comfreyway/versions";

/// Number of events of a whole stream.
const EVENTS: u64 = 6;

/// Events before the first runner breaks off.
const BROKEN_AFTER: u64 = 2;

/// Maximum number of looks at a log.
const MAX_WAITS: usize = 500;

/// Time between two looks at a log.
const WAIT: Duration = Duration::from_millis(20);

/// Takes a stream up again that began as `began` and broke off.
async fn take_up(host: &Daemon, id: &str, began: &str) -> Response {
    let after = BROKEN_AFTER.to_string();
    let headers = [(KEY, DESK_KEY), ("last-event-id", &*after), ("resumes", began)];
    call_with(host, id, "/report/", &headers, "question").await
}

/// Begins a stream that breaks off at `runner`, the only one that is known.
async fn begin_broken(host: &Daemon, id: &str, runner: &FleetRunner) {
    runner.set_mode(RunnerMode::CutAfter(BROKEN_AFTER));
    let response = call(host, id, "/report/").await;
    assert_eq!(response.status, 200);
    assert_eq!(response.headers["x-comfreyway-runner-signature"], runner.name());
    runner.set_mode(RunnerMode::Stream(EVENTS));
}

/// Number of requests that continue a stream.
fn continued(runner: &FleetRunner) -> usize {
    runner.runs().iter().filter(|run| run.headers.contains_key("last-event-id")).count()
}

/// Returns the events after those that the broken stream had.
fn remaining_events() -> String {
    events(EVENTS).split_off(events(BROKEN_AFTER).len())
}

/// Waits until the host has read the runner's entry.
async fn wait_until_known(host: &Daemon, runner: &FleetRunner) {
    wait_for_line(host, &format!("event=CF0521 runner={} ", runner.name())).await;
}

async fn wait_for_line(host: &Daemon, line: &str) {
    for _ in 0..MAX_WAITS {
        if host.log().contains(line) {
            return;
        }
        actix_rt::time::sleep(WAIT).await;
    }
    panic!("no {line}");
}

/// Waits until the store has a record of these versions.
async fn wait_for_record(fleet: &FleetHarness, versions: &[&str]) {
    for _ in 0..MAX_WAITS {
        let item = fleet.store.keys().with_store(|keys, now| keys.get(RECORD, now));
        let record = String::from_utf8(item.map_or(Vec::new(), |item| item.value)).unwrap();
        if versions.iter().all(|version| record.contains(&format!("\"{version}\""))) {
            return;
        }
        actix_rt::time::sleep(WAIT).await;
    }
    panic!("no record of {versions:?}");
}

/// Replaces the runner of v1 by one of v2 while no host is up. A host that starts then refuses
/// the stream that began at v1.
async fn take_up_after_replacement(fleet: &FleetHarness) -> (Daemon, FleetRunner) {
    fleet.store.delete("servers/e1");
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    let host = fleet.start_host("h2").await;
    wait_until_known(&host, &other).await;
    let response = take_up(&host, "again", "began").await;
    assert_eq!((response.status, response.reason()), (503, "version-unknown".to_owned()));
    assert_eq!(continued(&other), 0);
    (host, other)
}

/// Runners without requests are used in the order of their names.
#[rstest]
#[case::none_of_that_version(None, None)]
#[case::one_of_that_version(Some("v1"), Some(events(EVENTS)))]
#[actix_rt::test]
async fn a_broken_stream_resumes_only_at_the_version_that_began_it(
    #[case] third: Option<&str>,
    #[case] expected: Option<String>,
) {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::CutAfter(BROKEN_AFTER));
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    let third =
        third.map(|version| fleet.start_version("dala", "e3", version, RunnerMode::Stream(EVENTS)));
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", "/report/").await;
    assert_eq!(response.headers["x-comfreyway-runner-signature"], first.name());
    assert_eq!((continued(&other), third.as_ref().map_or(0, continued)), (0, third.iter().len()));
    if let Some(expected) = expected {
        assert_eq!(response.body, Some(expected));
    }
}

#[actix_rt::test]
async fn a_stream_that_its_caller_takes_up_again_stays_at_its_version() {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    for (number, host) in hosts.iter().enumerate() {
        begin_broken(host, &format!("began-{number}"), &first).await;
    }
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    let resumed = continued(&first);
    for host in &hosts {
        wait_until_known(host, &other).await;
    }
    for (number, host) in hosts.iter().enumerate() {
        for began in 0..2 {
            let id = format!("again-{number}-{began}");
            let response = take_up(host, &id, &format!("began-{began}")).await;
            assert_eq!(response.body, Some(remaining_events()), "{id}");
        }
    }
    assert_eq!((continued(&first) - resumed, continued(&other)), (4, 0));
}

#[actix_rt::test]
async fn a_stream_of_an_unknown_version_is_refused_while_several_serve() {
    let fleet = FleetHarness::new();
    let runners = ["v1", "v2"].map(|version| {
        fleet.start_version("dala", &format!("e-{version}"), version, RunnerMode::Stream(EVENTS))
    });
    let host = fleet.start_host("h1").await;
    for runner in &runners {
        wait_until_known(&host, runner).await;
    }
    for number in 0..4 {
        let response = take_up(&host, &format!("id-{number}"), "never-seen").await;
        let got = (response.status, response.reason());
        assert_eq!(got, (503, "version-unknown".to_owned()), "request {number}");
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(runners.iter().map(continued).sum::<usize>(), 0);
}

/// The first host coordinates. A stream begins at one host and is taken up at another.
#[rstest]
#[case::host(1, 1, 2)]
#[case::coordinator(1, 0, 2)]
#[case::coordinator_that_began_it(0, 0, 2)]
#[actix_rt::test]
async fn a_stream_goes_on_after_a_host_was_killed(
    #[case] began_at: usize,
    #[case] killed: usize,
    #[case] taken_up_at: usize,
) {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let mut hosts = vec![fleet.start_host("h1").await];
    for name in ["h2", "h3"] {
        let host = fleet.start_host(name).await;
        wait_for_line(&host, "event=CF0532").await;
        hosts.push(host);
    }
    begin_broken(&hosts[began_at], "began", &first).await;
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
    let resumed = continued(&first);
    for copy in ["h2", "h3"] {
        wait_for_line(&hosts[0], &format!("event=CF0539 host={copy}#")).await;
    }
    wait_until_known(&hosts[taken_up_at], &other).await;
    hosts[killed].signal(Signal::Kill).unwrap();
    hosts[killed].exited().await.unwrap();
    let response = take_up(&hosts[taken_up_at], "again", "began").await;
    assert_eq!(response.body, Some(remaining_events()));
    assert_eq!((continued(&first) - resumed, continued(&other)), (1, 0));
}

/// Nobody knows a stream after all hosts were killed.
#[rstest]
#[case::one_version(false, 200)]
#[case::another_version_that_has_left(true, 503)]
#[actix_rt::test]
async fn hosts_that_start_again_know_which_versions_may_have_begun_a_stream(
    #[case] is_mixed: bool,
    #[case] expected: u16,
) {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Stream(EVENTS));
    let host = fleet.start_host("h1").await;
    if is_mixed {
        let _left = fleet.start_version("dala", "e2", "v2", RunnerMode::Stream(EVENTS));
        wait_for_record(&fleet, &["v1", "v2"]).await;
        fleet.store.delete("servers/e2");
        wait_for_line(&host, "event=CF0523 runner=e2").await;
    }
    drop(host);
    let host = fleet.start_host("h2").await;
    wait_until_known(&host, &first).await;
    let response = take_up(&host, "again", "began").await;
    assert_eq!(response.status, expected);
    assert_eq!(continued(&first), usize::from(!is_mixed));
}

/// Both versions serve on; only the store knows which began each stream.
#[actix_rt::test]
async fn a_stream_goes_on_at_its_version_after_all_hosts_were_killed() {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let mut host = fleet.start_host("h1").await;
    begin_broken(&host, "before", &first).await;
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Whole);
    wait_for_record(&fleet, &["v1", "v2"]).await;
    // The first runner is paused, since its last responses broke.
    begin_broken(&host, "beside", &other).await;
    let resumed = [&first, &other].map(continued);
    let stored = || fleet.store.list("comfreyway/streams/").len();
    for wait in 0..MAX_WAITS {
        if stored() >= 2 {
            break;
        }
        assert!(wait + 1 < MAX_WAITS, "the store has {} items of streams", stored());
        actix_rt::time::sleep(WAIT).await;
    }
    host.signal(Signal::Kill).unwrap();
    host.exited().await.unwrap();
    let host = fleet.start_host("h2").await;
    wait_until_known(&host, &first).await;
    wait_until_known(&host, &other).await;
    for began in ["before", "beside"] {
        let response = take_up(&host, &format!("again-{began}"), began).await;
        assert_eq!(response.body, Some(remaining_events()), "{began}");
    }
    assert_eq!([&first, &other].map(continued), resumed.map(|number| number + 1));
}

/// All runners are replaced by those of another version while no host is up.
#[actix_rt::test]
async fn a_stream_is_not_joined_from_two_versions_after_all_hosts_were_down() {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    begin_broken(&host, "began", &first).await;
    wait_for_record(&fleet, &["v1"]).await;
    drop(host);
    let (host, _other) = take_up_after_replacement(&fleet).await;
    // New streams begin at the new version all the same.
    assert_eq!(call(&host, "new", "/report/").await.status, 200);
}
