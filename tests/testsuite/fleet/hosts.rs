//! Several hosts, and what is left when some of them go.

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

use super::site::{DESK_KEY, KEY, Site, call, call_with, configuration, runner_entry, try_call};

/// Waits until a host asks another one.
async fn asks_another(host: &crate::support::Daemon) {
    let log = || async { host.log().contains("CF0532").then_some(()) };
    eventually(log).await.expect("the host found no coordinator");
}

#[actix_rt::test]
async fn a_host_goes_on_when_its_coordinator_is_killed() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = site.host("h1").await;
    let second = site.host("h2").await;
    asks_another(&second).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    first.signal(Signal::Kill).unwrap();
    for number in 2..6 {
        assert_eq!(call(&second, &format!("id-{number}"), "/lookup/").await.status, 200);
    }
}

#[actix_rt::test]
async fn a_request_that_waits_is_placed_by_the_next_coordinator() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = site.host("h1").await;
    let second = site.host("h2").await;
    asks_another(&second).await;
    site.runners[0].gate().close();
    // Both places are taken through the first host, the next request waits.
    let held = async {
        let taken = || async { (site.runners[0].runs().len() == 2).then_some(()) };
        eventually(taken).await.expect("the places are not taken");
        let lose = async {
            first.signal(Signal::Kill).unwrap();
            let lost = || async { second.log().contains("CF0533").then_some(()) };
            eventually(lost).await.expect("the second host did not notice");
            site.runners[0].gate().open();
        };
        futures_util::join!(call(&second, "id-3", "/lookup/"), lose).0
    };
    let cut = [try_call(&first, "id-1"), try_call(&first, "id-2")];
    let (answer, _) = futures_util::join!(held, futures_util::future::join_all(cut));
    assert_eq!(answer.status, 200);
}

/// While hundreds of hosts start, thousands of runners take the store seconds. A
/// host serves as soon as it knows the configuration and the other hosts: its
/// coordinator tells it of the runners that it has not read.
#[actix_rt::test]
async fn a_host_serves_before_it_has_read_all_runners() {
    let site = Site::new();
    for number in 0..700 {
        let entry = runner_entry(([127, 0, 0, 1], 9).into(), "other", "ready");
        site.store.put(&format!("servers/n{number:03}"), entry.to_string().as_bytes());
    }
    let site = site.with_runner("survey", "r1", RunnerMode::Whole);
    let _first = site.host("h1").await;
    site.store.set_faults(StoreFaults::new().with_first_pages_only());
    let second = site.host("h2").await;
    asks_another(&second).await;
    let answer = call(&second, "id-1", "/lookup/").await;
    assert_eq!((answer.status, site.runners[0].runs().len()), (200, 1));
    site.store.set_faults(StoreFaults::new());
    let told = || async { second.log().contains("CF0543").then_some(()) };
    eventually(told).await.expect("the host never read the rest");
    assert_eq!(call(&second, "id-2", "/lookup/").await.status, 200);
}

/// A host that asks another one sends away whoever asks it. It once kept them, and
/// two groups of hosts shared the runners until a connection broke.
#[actix_rt::test]
async fn a_host_that_asks_another_one_coordinates_nobody() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let _first = site.host("h1").await;
    let second = site.host("h2").await;
    asks_another(&second).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    let entry = site.store.keys().get("comfreyway/hosts/h2").await.unwrap().unwrap();
    let entry: Value = serde_json::from_slice(&entry.value).unwrap();
    let url = format!("ws://{}/fleet", second.settings().peers);
    let (mut socket, _) = tokio_tungstenite::connect_async(url).await.unwrap();
    let hello = json!({ "h": [{ "name": "h3", "incarnation": 1 }, entry["token"]] });
    let mut frame = Vec::new();
    ciborium::into_writer(&hello, &mut frame).unwrap();
    socket.send(Message::binary(frame)).await.unwrap();
    let told = socket.next().await.unwrap().unwrap().into_data();
    let told: Value = ciborium::from_reader(&told[..]).unwrap();
    assert_eq!(told, json!("l"), "it is told to leave");
}

#[actix_rt::test]
async fn an_outage_of_the_store_stops_no_request() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    for outage in [StoreOutage::Busy, StoreOutage::Silent, StoreOutage::RateLimited] {
        site.store.set_faults(StoreFaults::new().with_outage(outage));
        assert_eq!(call(&host, "id-1", "/open/").await.status, 200, "{outage:?}");
    }
}

#[actix_rt::test]
async fn a_host_that_stops_takes_its_entry_out_of_the_store() {
    let site = Site::new();
    let mut host = site.host("h1").await;
    let listed = || async { (site.store.list("comfreyway/hosts/").len() == 1).then_some(()) };
    eventually(listed).await.expect("the host is not in the store");
    host.signal(Signal::Terminate).unwrap();
    assert!(host.exited().await.unwrap().success());
    assert!(site.store.list("comfreyway/hosts/").is_empty());
}

/// Calls to the store are few and paid for.
#[actix_rt::test]
async fn only_the_coordinator_watches_the_store_and_the_others_hear_it_from_there() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = site.host("h1").await;
    let second = site.host("h2").await;
    let third = site.host("h3").await;
    for host in [&second, &third] {
        let told = || async { host.log().contains("CF0543").then_some(()) };
        eventually(told).await.expect("the host hears nothing from its coordinator");
    }
    let mut changed = configuration(9);
    changed["routes"][0]["prefix"] = serde_json::json!("/moved/");
    site.put_configuration(changed);
    for host in [&first, &second, &third] {
        let moved = || async {
            (call_with(host, "id-1", "/moved/", &[(KEY, DESK_KEY)], "").await.status == 200)
                .then_some(())
        };
        eventually(moved).await.expect("the change did not reach every host");
    }
    // One host watches, once a second. On a busy machine another one may call
    // the store for a while when the proof comes late.
    let few = || async {
        let before = site.store.calls().watch;
        actix_rt::time::sleep(std::time::Duration::from_secs(2)).await;
        (site.store.calls().watch - before <= 3).then_some(())
    };
    eventually(few).await.expect("every host watches the store");
}

#[actix_rt::test]
async fn a_host_that_can_not_reach_the_store_believes_keys_as_its_coordinator_proves_them() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let first = site.host("h1").await;
    let proxy = FaultProxy::start(site.store.address()).unwrap();
    let settings = DaemonSettings::with_fleet_store("h2", proxy.address()).unwrap();
    let settings = settings.with_workers(1).with_fleet("key-revocation", "3s");
    let second = crate::support::Daemon::start_ready(settings).await;
    let told = || async { second.log().contains("CF0543").then_some(()) };
    eventually(told).await.expect("the host hears nothing from its coordinator");
    proxy.partition().unwrap();
    // Longer than the time for which an old proof counts.
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    assert_eq!(call(&second, "id-1", "/lookup/").await.status, 200);
    let mut revoked = configuration(5);
    revoked["tenants"][0]["apiKeys"] = serde_json::json!(["new-key"]);
    site.put_configuration(revoked);
    let refused =
        || async { (call(&second, "id-2", "/lookup/").await.status == 401).then_some(()) };
    eventually(refused).await.expect("the key is still believed");
    drop(first);
}

/// How soon is bounded by a constant that is checked where it stands
/// (`control/relaying.rs`).
#[actix_rt::test]
async fn a_change_reaches_hosts_whose_coordinator_is_turned_away_by_the_store() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let proxy = FaultProxy::start(site.store.address()).unwrap();
    let settings = DaemonSettings::with_fleet_store("h1", proxy.address()).unwrap();
    let first = crate::support::Daemon::start_ready(settings.with_workers(1)).await;
    let second = site.host("h2").await;
    let told = || async { second.log().contains("CF0543").then_some(()) };
    eventually(told).await.expect("the host hears nothing from its coordinator");
    proxy.partition().unwrap();
    site.put_configuration(configuration(6));
    let known = || async { second.log().contains("CF0511 version=6").then_some(()) };
    eventually(known).await.expect("the change did not reach the host");
    drop(first);
}
