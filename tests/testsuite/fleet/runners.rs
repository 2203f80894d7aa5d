//! Runners that are added, draining or removed, and invalid runner entries.

use comfreyway_testkit::{daemon::eventually, fleet_runner::RunnerMode};

use super::harness::{FleetHarness, call};

#[actix_rt::test]
async fn a_runner_that_is_draining_or_removed_gets_nothing_new() {
    let fleet = FleetHarness::new()
        .with_runner("survey", "r1", RunnerMode::Whole)
        .with_runner("survey", "r2", RunnerMode::Whole)
        .with_runner("survey", "r3", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    call(&host, "id-0", "/lookup/").await;
    fleet.put_runner(&fleet.runners[0], "survey", "draining");
    fleet.store.delete("servers/r2");
    let log = || async {
        let log = host.log();
        let logged = log.contains("CF0522 runner=r1") && log.contains("CF0523 runner=r2");
        logged.then_some(())
    };
    eventually(log).await.expect("the host did not log the changed runners");
    for number in 1..8 {
        let response = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(response.body.as_deref(), Some("answer of r3"));
    }
}

#[actix_rt::test]
async fn invalid_runner_entries_are_ignored() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    fleet.store.put("servers/odd-1", b"\xff\xfe");
    fleet.store.put("servers/odd-2", br#"{"service":"survey","address":7}"#);
    fleet.store.put(
        "servers/odd-3",
        br#"{"service":"survey","address":"127.0.0.1:1","zone":"z","slots":2,"state":"asleep"}"#,
    );
    fleet.store.put("servers/", b"{}");
    let host = fleet.start_host("h1").await;
    for number in 0..4 {
        let response = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(response.body.as_deref(), Some("answer of r1"));
    }
}

#[actix_rt::test]
async fn runners_are_listed_again_after_the_history_is_compacted() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    fleet.store.put("servers/late", b"{}");
    fleet.store.delete("servers/late");
    fleet.store.compact();
    let fleet = fleet.with_runner("survey", "r2", RunnerMode::Whole);
    let log = || async { host.log().contains("CF0521 runner=r2").then_some(()) };
    eventually(log).await.expect("the host did not log the new runner");
    assert_eq!(fleet.runners.len(), 2);
}
