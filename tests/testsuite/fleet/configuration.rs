//! Configuration that changes, is missing or may be old.

use comfreyway_testkit::{
    daemon::eventually,
    fleet_runner::RunnerMode,
    store::{StoreFaults, StoreOutage},
};
use serde_json::json;

use crate::support::Daemon;

use super::site::{DESK_KEY, KEY, Site, USAGE, call, call_with, configuration};

/// An operator who takes a fleet's host for one with classes of its own is told
/// where the configuration is, and nothing changes.
#[actix_rt::test]
async fn the_product_s_own_operators_are_told_where_the_configuration_is() {
    let site = Site::new();
    let host = site.host("h1").await;
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_comfreyway"));
    let server = format!("--server={}", host.settings().operators);
    command.args([&server, "class", "set", "quote", "tier=1"]);
    let output = actix_rt::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    let told = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{told}");
    assert!(told.contains("403") && told.contains("configuration = own"), "{told}");
    assert_eq!(site.store.list(""), ["comfreyway/hosts/h1", "op/config"]);
}

#[actix_rt::test]
async fn a_host_without_configuration_is_not_ready_and_refuses() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    site.store.delete("op/config");
    let host = Daemon::start(site.settings("h1"));
    let started = || async { host.log().contains("CF0101").then_some(()) };
    eventually(started).await.expect("the host did not start");
    assert!(!host.is_ready().await);
    let answer = call(&host, "id-1", "/lookup/").await;
    assert_eq!((answer.status, answer.reason().as_str()), (503, "not-ready"));
    assert!(answer.headers.contains_key("retry-after"));
    site.put_configuration(configuration(1));
    let mut host = host;
    host.ready().await.unwrap();
    assert_eq!(call(&host, "id-2", "/lookup/").await.status, 200);
}

#[actix_rt::test]
async fn a_new_version_is_in_force_and_an_old_key_is_refused() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let mut changed = configuration(7);
    changed["tenants"][0]["apiKeys"] = json!(["new-key"]);
    changed["routes"][0]["prefix"] = json!("/moved/");
    site.put_configuration(changed);
    let log = || async { host.log().contains("CF0511 version=7").then_some(()) };
    eventually(log).await.expect("the new version did not come into force");
    assert_eq!(call(&host, "id-1", "/moved/").await.status, 401);
    let new = [(KEY, "new-key")];
    assert_eq!(call_with(&host, "id-2", "/moved/", &new, "").await.status, 200);
    assert_eq!(call_with(&host, "id-3", "/lookup/", &new, "").await.status, 404);
}

#[actix_rt::test]
async fn keys_are_believed_only_while_the_configuration_is_proved_current() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = site.settings("h1").with_fleet("key-revocation", "3s");
    let host = Daemon::start_ready(settings).await;
    site.store.set_faults(StoreFaults::new().with_outage(StoreOutage::Busy));
    let refused = || async {
        let answer = call(&host, "id-1", "/lookup/").await;
        (answer.reason() == "stale-configuration").then_some(answer)
    };
    let answer = eventually(refused).await.expect("the key was believed without end");
    assert_eq!(answer.status, 503);
    assert!(!host.is_ready().await);
    // What needs no key is served on what is known.
    assert_eq!(call_with(&host, "id-2", "/open/", &[], "").await.status, 200);
    site.store.set_faults(StoreFaults::default());
    let served = || async { (call(&host, "id-3", "/lookup/").await.status == 200).then_some(()) };
    eventually(served).await.expect("the key is not believed after the store's return");
}

#[actix_rt::test]
async fn a_workspace_beyond_its_quota_is_refused_with_the_time_to_come_back() {
    let site = Site::new().with_runner("dala", "e1", RunnerMode::Stream(1));
    let mut limited = configuration(2);
    limited["tenants"][0]["ratePerS"] = json!(10);
    limited["tenants"][0]["burst"] = json!(1000);
    site.put_configuration(limited);
    let settings = site.settings("h1").with_fleet("quota-slack", "0");
    let host = Daemon::start_ready(settings).await;
    let headers = [(KEY, DESK_KEY), (USAGE, "800,100")];
    assert_eq!(call_with(&host, "id-1", "/tags/", &headers, "").await.status, 200);
    let answer = call_with(&host, "id-2", "/tags/", &headers, "").await;
    assert_eq!((answer.status, answer.reason().as_str()), (429, "over-quota"));
    let wait: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!(wait > 1.0, "{wait}");
    assert_eq!(site.runners[0].runs().len(), 1);
}
