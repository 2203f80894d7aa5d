//! Hosts that send requests through each other.

use comfreyway_testkit::{
    daemon::{eventually, unused_address},
    fleet_runner::RunnerMode,
};

use super::harness::{FleetHarness, call, runner_entry};

/// Both hosts fail to reach two runners, so each could take the other for the one with a
/// way.
#[actix_rt::test]
async fn hosts_that_all_lose_most_runners_use_the_last_one_themselves() {
    let fleet = FleetHarness::new();
    for name in ["r1", "r2", "r3"] {
        let entry = runner_entry(unused_address().unwrap(), "survey", "ready");
        fleet.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
    }
    let hosts = [fleet.start_host("h1").await, fleet.start_host("h2").await];
    let connected = || async { hosts[1].log().contains("CF0532").then_some(()) };
    eventually(connected).await.expect("the second host found no coordinator");
    // No runner has responded before the first ones fail.
    for (number, host) in hosts.iter().enumerate() {
        call(host, &format!("lost-{number}"), "/lookup/count/").await;
    }
    let fleet = fleet.with_runner("survey", "r4", RunnerMode::Whole);
    let known = || async {
        let all = hosts.iter().all(|host| host.log().contains("runner=r4"));
        all.then_some(())
    };
    eventually(known).await.expect("the hosts did not learn of the new runner");
    for number in 0..10 {
        for (host, daemon) in hosts.iter().enumerate() {
            let id = format!("id-{host}-{number}");
            assert_eq!(call(daemon, &id, "/lookup/count/").await.status, 200, "{id}");
        }
    }
    assert_eq!(fleet.runners[0].runs().len(), 20);
}
