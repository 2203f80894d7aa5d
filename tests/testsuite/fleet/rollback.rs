//! A store that comes back from an older copy.

use comfreyway_testkit::{
    daemon::eventually,
    fleet_runner::RunnerMode,
    store::{StoreFaults, StoreOutage},
};
use serde_json::json;

use super::harness::{FleetHarness, call, configuration};
use crate::support::Daemon;

const LOOKUP: &str = "/lookup/";

/// Waits until a host has logged this text.
async fn logged(host: &Daemon, text: &str) {
    let log = || async { host.log().contains(text).then_some(()) };
    eventually(log).await.unwrap_or_else(|| panic!("the host did not log {text}"));
}

/// Waits until the store lists an entry of each host.
async fn registered(fleet: &FleetHarness, hosts: usize) {
    let listed = || async { (fleet.store.list("comfreyway/hosts/").len() == hosts).then_some(()) };
    eventually(listed).await.expect("not all hosts are registered");
}

#[actix_rt::test]
async fn hosts_register_again_and_follow_later_changes() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let copy = fleet.store.copy();
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    registered(&fleet, 2).await;
    for _ in 0..2 {
        fleet.store.restore(copy.clone());
        assert!(fleet.store.list("comfreyway/hosts/").is_empty());
        registered(&fleet, 2).await;
    }
    for host in &hosts {
        logged(host, "CF0546 era=3").await;
    }
    let fleet = fleet.with_runner("survey", "r2", RunnerMode::Whole);
    for host in &hosts {
        logged(host, "CF0521 runner=r2").await;
        assert_eq!(call(host, "id-1", LOOKUP).await.status, 200);
    }
    assert_eq!(fleet.runners.len(), 2);
}

#[actix_rt::test]
async fn lost_configuration_stays_in_force_also_on_a_host_that_starts() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let copy = fleet.store.copy();
    // Version 2 takes the key of the workspace away.
    let mut revoked = configuration(2);
    revoked["tenants"][0]["apiKeys"] = json!(["another key"]);
    fleet.put_configuration(revoked);
    logged(&host, "CF0511 version=2").await;
    assert_eq!(call(&host, "id-1", LOOKUP).await.status, 401);
    fleet.store.set_faults(StoreFaults::new().with_outage(StoreOutage::Cut));
    fleet.store.restore(copy);
    fleet.store.set_faults(StoreFaults::new());
    logged(&host, "CF0546 era=2").await;
    let other = fleet.start_host("h2").await;
    logged(&other, "CF0511 version=2").await;
    for host in [&host, &other] {
        assert_eq!(call(host, "id-2", LOOKUP).await.status, 401);
    }
    // What the operator writes next is applied.
    fleet.put_configuration(configuration(3));
    for host in [&host, &other] {
        logged(host, "CF0511 version=3").await;
        assert_eq!(call(host, "id-3", LOOKUP).await.status, 200);
    }
}

#[actix_rt::test]
async fn runners_that_left_stay_away_until_they_write_again() {
    let fleet = FleetHarness::new()
        .with_runner("survey", "r1", RunnerMode::Whole)
        .with_runner("survey", "r2", RunnerMode::Whole)
        .with_runner("survey", "r3", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let copy = fleet.store.copy();
    fleet.put_runner(&fleet.runners[0], "survey", "draining");
    fleet.store.delete("servers/r2");
    logged(&host, "CF0522 runner=r1").await;
    logged(&host, "CF0523 runner=r2").await;
    fleet.store.restore(copy);
    logged(&host, "CF0546 era=2").await;
    for number in 0..8 {
        let response = call(&host, &format!("id-{number}"), LOOKUP).await;
        assert_eq!(response.body.as_deref(), Some("answer of r3"));
    }
    fleet.put_runner(&fleet.runners[1], "survey", "ready");
    fleet.put_runner(&fleet.runners[2], "survey", "draining");
    logged(&host, "CF0521 runner=r2").await;
    let used = || async {
        call(&host, "id-9", LOOKUP).await;
        (!fleet.runners[1].runs().is_empty()).then_some(())
    };
    eventually(used).await.expect("the runner that wrote again is not used");
    assert!(fleet.runners[0].runs().is_empty());
}

#[actix_rt::test]
async fn runners_that_the_copy_lacks_are_used_meanwhile() {
    let fleet = FleetHarness::new();
    let copy = fleet.store.copy();
    let fleet = fleet.with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    fleet.store.restore(copy);
    logged(&host, "CF0546 era=2").await;
    assert_eq!(call(&host, "id-1", LOOKUP).await.status, 200);
    // The runner does not write again: it has ended.
    logged(&host, "CF0523 runner=r1").await;
    let response = call(&host, "id-2", LOOKUP).await;
    assert_eq!(response.status, 503);
}
