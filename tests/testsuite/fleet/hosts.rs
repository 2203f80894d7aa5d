//! Several hosts with one coordinator, and failures of hosts and of the store.

use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal, eventually},
    fleet_runner::RunnerMode,
    proxy::FaultProxy,
    store::{StoreFaults, StoreOutage},
};

use comfreyway_platform::KeyValue;
use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use tokio_tungstenite::tungstenite::Message;

use crate::support::Daemon;

use super::harness::{
    DESK_KEY, FleetHarness, KEY, call, call_with, configuration, runner_entry, try_call,
};

/// Waits until a host has a session with its coordinator.
async fn wait_for_coordinator(host: &Daemon) {
    let log = || async { host.log().contains("CF0532").then_some(()) };
    eventually(log).await.expect("the host found no coordinator");
}

#[actix_rt::test]
async fn a_host_still_serves_after_its_coordinator_is_killed() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let second = fleet.start_host("h2").await;
    wait_for_coordinator(&second).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    first.signal(Signal::Kill).unwrap();
    for number in 2..6 {
        assert_eq!(call(&second, &format!("id-{number}"), "/lookup/").await.status, 200);
    }
}

#[actix_rt::test]
async fn a_waiting_request_is_dispatched_by_the_next_coordinator() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let second = fleet.start_host("h2").await;
    wait_for_coordinator(&second).await;
    fleet.runners[0].gate().close();
    // Requests through the first host take both slots, so the next request waits.
    let waiting = async {
        let dispatched = || async { (fleet.runners[0].runs().len() == 2).then_some(()) };
        eventually(dispatched).await.expect("the slots are not taken");
        let kill_first = async {
            first.signal(Signal::Kill).unwrap();
            let disconnected = || async { second.log().contains("CF0533").then_some(()) };
            eventually(disconnected)
                .await
                .expect("the second host did not detect that its coordinator is down");
            fleet.runners[0].gate().open();
        };
        futures_util::join!(call(&second, "id-3", "/lookup/"), kill_first).0
    };
    let aborted = [try_call(&first, "id-1"), try_call(&first, "id-2")];
    let (response, _) = futures_util::join!(waiting, futures_util::future::join_all(aborted));
    assert_eq!(response.status, 200);
}

/// When hundreds of hosts start, listing thousands of runners takes the store
/// seconds. A host serves as soon as it knows the configuration and the other
/// hosts: its coordinator sends it the runners that it has not read.
#[actix_rt::test]
async fn a_host_serves_before_it_has_read_all_runners() {
    let fleet = FleetHarness::new();
    for number in 0..700 {
        let entry = runner_entry(([127, 0, 0, 1], 9).into(), "other", "ready");
        fleet.store.put(&format!("servers/n{number:03}"), entry.to_string().as_bytes());
    }
    let fleet = fleet.with_runner("survey", "r1", RunnerMode::Whole);
    let _first = fleet.start_host("h1").await;
    fleet.store.set_faults(StoreFaults::new().with_first_pages_only());
    let second = fleet.start_host("h2").await;
    wait_for_coordinator(&second).await;
    let response = call(&second, "id-1", "/lookup/").await;
    assert_eq!((response.status, fleet.runners[0].runs().len()), (200, 1));
    fleet.store.set_faults(StoreFaults::new());
    let relayed = || async { second.log().contains("CF0543").then_some(()) };
    eventually(relayed).await.expect("the host never read the rest");
    assert_eq!(call(&second, "id-2", "/lookup/").await.status, 200);
}

/// A client host replies that it does not coordinate when another host connects
/// to it as its coordinator. It once accepted such hosts, and two groups of hosts
/// shared the runners until a connection was lost.
#[actix_rt::test]
async fn a_client_host_does_not_coordinate_other_hosts() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let _first = fleet.start_host("h1").await;
    let second = fleet.start_host("h2").await;
    wait_for_coordinator(&second).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    let entry = fleet.store.keys().get("comfreyway/hosts/h2").await.unwrap().unwrap();
    let entry: Value = serde_json::from_slice(&entry.value).unwrap();
    let url = format!("ws://{}/fleet", second.settings().peers);
    let (mut socket, _) = tokio_tungstenite::connect_async(url).await.unwrap();
    let hello = json!({ "h": [{ "name": "h3", "incarnation": 1 }, entry["token"]] });
    let mut frame = Vec::new();
    ciborium::into_writer(&hello, &mut frame).unwrap();
    socket.send(Message::binary(frame)).await.unwrap();
    let reply = socket.next().await.unwrap().unwrap().into_data();
    let reply: Value = ciborium::from_reader(&reply[..]).unwrap();
    assert_eq!(reply, json!("l"), "the client host did not reply that it does not coordinate");
}

#[actix_rt::test]
async fn requests_are_served_during_a_store_outage() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    for outage in [StoreOutage::Busy, StoreOutage::Silent, StoreOutage::RateLimited] {
        fleet.store.set_faults(StoreFaults::new().with_outage(outage));
        assert_eq!(call(&host, "id-1", "/open/").await.status, 200, "{outage:?}");
    }
}

#[actix_rt::test]
async fn a_stopping_host_removes_its_entry_from_the_store() {
    let fleet = FleetHarness::new();
    let mut host = fleet.start_host("h1").await;
    let listed = || async { (fleet.store.list("comfreyway/hosts/").len() == 1).then_some(()) };
    eventually(listed).await.expect("the host is not in the store");
    host.signal(Signal::Terminate).unwrap();
    assert!(host.exited().await.unwrap().success());
    assert!(fleet.store.list("comfreyway/hosts/").is_empty());
}

/// Store calls are limited and billed.
#[actix_rt::test]
async fn only_the_coordinator_watches_the_store_and_relays_changes_to_client_hosts() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let second = fleet.start_host("h2").await;
    let third = fleet.start_host("h3").await;
    for host in [&second, &third] {
        let relayed = || async { host.log().contains("CF0543").then_some(()) };
        eventually(relayed).await.expect("the coordinator relayed no store state to the host");
    }
    let mut changed = configuration(9);
    changed["routes"][0]["prefix"] = serde_json::json!("/moved/");
    fleet.put_configuration(changed);
    for host in [&first, &second, &third] {
        let moved = || async {
            (call_with(host, "id-1", "/moved/", &[(KEY, DESK_KEY)], "").await.status == 200)
                .then_some(())
        };
        eventually(moved).await.expect("the change did not reach every host");
    }
    // One host watches, once a second. On a busy machine a client host may call
    // the store for a while when the coordinator's verification arrives late.
    let few = || async {
        let before = fleet.store.calls().watch;
        actix_rt::time::sleep(std::time::Duration::from_secs(2)).await;
        (fleet.store.calls().watch - before <= 3).then_some(())
    };
    eventually(few).await.expect("every host watches the store");
}

/// A fleet that starts, or loses its coordinator, must not flood the store.
#[actix_rt::test]
async fn hosts_that_have_another_coordinator_do_not_watch_the_store() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let mut others = Vec::new();
    for name in ["h2", "h3", "h4"] {
        let before = fleet.store.calls();
        others.push(fleet.start_host(name).await);
        let relayed = || async { others[others.len() - 1].log().contains("CF0543").then_some(()) };
        eventually(relayed).await.expect("the coordinator relayed no store state to the host");
        assert_eq!(fleet.store.calls().range - before.range, 1);
        only_one_host_watches(&fleet).await;
    }
    let listed = fleet.store.calls().range;
    first.signal(Signal::Kill).unwrap();
    let taken_over = || async {
        let connected = others.iter().filter(|host| host.log().matches("CF0532").count() == 2);
        (connected.count() == others.len() - 1).then_some(())
    };
    eventually(taken_over).await.expect("the other hosts have no common coordinator");
    for (number, host) in others.iter().enumerate() {
        assert_eq!(call(host, &format!("id-{number}"), "/lookup/").await.status, 200);
    }
    assert_eq!(fleet.store.calls().range, listed);
    only_one_host_watches(&fleet).await;
}

/// Checks for half a second, within which a watch that waits is seen.
async fn only_one_host_watches(fleet: &FleetHarness) {
    for _ in 0..50 {
        let waiting = fleet.store.calls().waiting_watches;
        assert!(waiting <= 1, "{waiting} hosts watch");
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn a_host_cut_off_from_the_store_accepts_keys_that_its_coordinator_verifies() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let proxy = FaultProxy::start(fleet.store.address()).unwrap();
    let settings = DaemonSettings::with_fleet_store("h2", proxy.address()).unwrap();
    let settings = settings.with_workers(1).with_fleet("key-revocation", "3s");
    let second = Daemon::start_ready(settings).await;
    let relayed = || async { second.log().contains("CF0543").then_some(()) };
    eventually(relayed).await.expect("the coordinator relayed no store state to the host");
    proxy.partition().unwrap();
    // Longer than `key-revocation`, after which keys need a new verification.
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    let mut revoked = configuration(5);
    revoked["tenants"][0]["apiKeys"] = serde_json::json!(["new-key"]);
    fleet.put_configuration(revoked);
    let refused =
        || async { (call(&second, "id-2", "/lookup/").await.status == 401).then_some(()) };
    eventually(refused).await.expect("the key is still accepted");
    drop(first);
}

/// A host that reaches the store through a proxy.
async fn start_host_behind_proxy(fleet: &FleetHarness, name: &str) -> (Daemon, FaultProxy) {
    let proxy = FaultProxy::start(fleet.store.address()).unwrap();
    let settings = DaemonSettings::with_fleet_store(name, proxy.address()).unwrap();
    let settings = settings.with_workers(1).with_fleet("host-lease", "1s");
    (Daemon::start_ready(settings).await, proxy)
}

/// Cuts a host off from the store and waits until it knows that its entry expired.
async fn lose_entry(fleet: &FleetHarness, host: &Daemon, proxy: &FaultProxy) {
    proxy.partition().unwrap();
    let key = format!("comfreyway/hosts/{}", host.settings().name);
    let expired =
        || async { (!fleet.store.list("comfreyway/hosts/").contains(&key)).then_some(()) };
    eventually(expired).await.expect("the entry does not expire");
    // A later change of the store, relayed after the end of the entry.
    fleet.put_configuration(configuration(7));
    let in_force = || async { host.log().contains("CF0511 version=7").then_some(()) };
    eventually(in_force).await.expect("the change did not reach the host");
}

async fn wait_for_relay(host: &Daemon) {
    let relayed = || async { host.log().contains("CF0543").then_some(()) };
    eventually(relayed).await.expect("the coordinator relayed no store state to the host");
}

/// The other hosts can't elect it, though it has run longest.
#[actix_rt::test]
async fn a_host_without_store_entry_uses_the_next_coordinator() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = fleet.start_host("h1").await;
    let (second, proxy) = start_host_behind_proxy(&fleet, "h2").await;
    let third = fleet.start_host("h3").await;
    wait_for_relay(&second).await;
    wait_for_relay(&third).await;
    lose_entry(&fleet, &second, &proxy).await;
    first.signal(Signal::Terminate).unwrap();
    let connected = || async { (second.log().matches("CF0532").count() == 2).then_some(()) };
    eventually(connected).await.expect("the host elects no other one");
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    assert!(!third.log().contains("CF0531 host=h2"));
}

/// A runner resets connections beyond the number that it accepts from all hosts.
#[actix_rt::test]
async fn idle_connections_are_shared_with_a_host_without_store_entry() {
    const SLOTS: usize = 8;
    const MAX_CONNECTIONS: usize = 12;
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let runner = &fleet.runners[0];
    let connections = FaultProxy::start(runner.address()).unwrap();
    let mut entry = runner_entry(connections.address(), "survey", "ready");
    entry["slots"] = json!(SLOTS);
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let mut limited = configuration(2);
    limited["services"][0]["maxConns"] = json!(MAX_CONNECTIONS);
    fleet.put_configuration(limited.clone());
    let first = fleet.start_host("h1").await;
    let (second, proxy) = start_host_behind_proxy(&fleet, "h2").await;
    wait_for_relay(&second).await;
    lose_entry(&fleet, &second, &proxy).await;
    limited["version"] = json!(8);
    fleet.put_configuration(limited);
    let in_force = || async { first.log().contains("CF0511 version=8").then_some(()) };
    eventually(in_force).await.expect("the change did not reach the host");
    for batch in 0..2 {
        runner.gate().close();
        let ids: Vec<_> = (0..SLOTS).map(|n| format!("id-{batch}-{n}")).collect();
        let calls = ids.iter().map(|id| call(&first, id, "/lookup/"));
        let open = async {
            let running = || async { (runner.runs().len() == SLOTS * (batch + 1)).then_some(()) };
            eventually(running).await.expect("not all requests are at the runner");
            runner.gate().open();
        };
        futures_util::join!(futures_util::future::join_all(calls), open);
    }
    let kept = 2 * SLOTS - connections.connections() as usize;
    assert!(kept <= (MAX_CONNECTIONS - SLOTS) / 2, "{kept} idle connections are kept");
}

/// The time limit is a constant that is checked at compile time in
/// `fleet/control/store_relay.rs`.
#[actix_rt::test]
async fn a_change_reaches_hosts_whose_coordinator_can_not_reach_the_store() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let proxy = FaultProxy::start(fleet.store.address()).unwrap();
    let settings = DaemonSettings::with_fleet_store("h1", proxy.address()).unwrap();
    let first = Daemon::start_ready(settings.with_workers(1)).await;
    let second = fleet.start_host("h2").await;
    let relayed = || async { second.log().contains("CF0543").then_some(()) };
    eventually(relayed).await.expect("the coordinator relayed no store state to the host");
    proxy.partition().unwrap();
    fleet.put_configuration(configuration(6));
    let in_force = || async { second.log().contains("CF0511 version=6").then_some(()) };
    eventually(in_force).await.expect("the change did not reach the host");
    drop(first);
}
