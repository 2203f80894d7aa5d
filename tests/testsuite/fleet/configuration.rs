//! Changed, missing and stale configurations of a fleet.

use comfreyway_testkit::{
    daemon::eventually,
    fleet_runner::RunnerMode,
    store::{StoreFaults, StoreOutage},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, KEY, USAGE, call, call_with, configuration};

/// A host of a fleet refuses configuration changes through the operators'
/// client. The error names the setting under which a host manages its own
/// configuration.
#[actix_rt::test]
async fn a_fleet_host_refuses_changes_of_the_operators_client() {
    let fleet = FleetHarness::new();
    let host = fleet.start_host("h1").await;
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_comfreyway"));
    let server = format!("--server={}", host.settings().operators);
    command.args([&server, "class", "set", "quote", "tier=1"]);
    let output = actix_rt::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("403") && stderr.contains("configuration = own"), "{stderr}");
    assert_eq!(fleet.store.list(""), ["comfreyway/hosts/h1", "op/config"]);
}

#[actix_rt::test]
async fn a_host_without_configuration_is_not_ready_and_refuses() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    fleet.store.delete("op/config");
    let host = Daemon::start(fleet.settings("h1"));
    let started = || async { host.log().contains("CF0101").then_some(()) };
    eventually(started).await.expect("the host did not start");
    assert!(!host.is_ready().await);
    let response = call(&host, "id-1", "/lookup/").await;
    assert_eq!((response.status, response.reason().as_str()), (503, "not-ready"));
    assert!(response.headers.contains_key("retry-after"));
    fleet.put_configuration(configuration(1));
    let mut host = host;
    host.ready().await.unwrap();
    assert_eq!(call(&host, "id-2", "/lookup/").await.status, 200);
}

#[actix_rt::test]
async fn a_new_version_takes_effect_and_an_old_key_is_refused() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let mut changed = configuration(7);
    changed["tenants"][0]["apiKeys"] = json!(["new-key"]);
    changed["routes"][0]["prefix"] = json!("/moved/");
    fleet.put_configuration(changed);
    let log = || async { host.log().contains("CF0511 version=7").then_some(()) };
    eventually(log).await.expect("the new version did not come into force");
    assert_eq!(call(&host, "id-1", "/moved/").await.status, 401);
    let new = [(KEY, "new-key")];
    assert_eq!(call_with(&host, "id-2", "/moved/", &new, "").await.status, 200);
    assert_eq!(call_with(&host, "id-3", "/lookup/", &new, "").await.status, 404);
}

/// Whether keys are required was decided from the number of workspaces, so the last one took
/// the check of keys away with it: its revoked key, any other one and none were let in.
#[rstest]
#[case::no_workspace(json!([]))]
#[case::workspace_without_keys(json!([{ "name": "desk", "apiKeys": [] }]))]
#[case::keys_missing(json!([{ "name": "desk" }]))]
#[actix_rt::test]
async fn a_revoked_key_is_refused_also_if_no_key_is_left(#[case] tenants: Value) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let mut hosts = vec![fleet.start_host("h1").await, fleet.start_host("h2").await];
    for host in &hosts {
        assert_eq!(call(host, "id-1", "/lookup/").await.status, 200);
    }
    let mut revoked = configuration(2);
    revoked["tenants"] = tenants;
    fleet.put_configuration(revoked);
    for host in &hosts {
        let log = || async { host.log().contains("CF0511 version=2").then_some(()) };
        eventually(log).await.expect("the new version did not come into force");
    }
    hosts.push(fleet.start_host("h3").await);
    let runs = fleet.runners[0].runs().len();
    for host in &hosts {
        for (number, key) in [Some(DESK_KEY), Some("guessed"), None].into_iter().enumerate() {
            let headers: Vec<_> = key.iter().map(|key| (KEY, *key)).collect();
            let response = call_with(host, &format!("id-{number}"), "/lookup/", &headers, "").await;
            let got = (response.status, response.reason());
            assert_eq!(got, (401, "unknown-key".to_owned()), "{key:?}");
        }
    }
    assert_eq!(fleet.runners[0].runs().len(), runs);
    // Public routes need no key.
    assert_eq!(call_with(&hosts[0], "id-4", "/open/", &[], "").await.status, 200);
}

#[actix_rt::test]
async fn a_configuration_that_lists_no_workspaces_needs_no_keys() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let mut open = configuration(2);
    open.as_object_mut().unwrap().remove("tenants");
    fleet.put_configuration(open);
    let host = fleet.start_host("h1").await;
    assert_eq!(call_with(&host, "id-1", "/lookup/", &[], "").await.status, 200);
}

#[actix_rt::test]
async fn keys_are_accepted_only_while_the_configuration_is_verified_as_current() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = fleet.settings("h1").with_fleet("key-revocation", "3s");
    let host = Daemon::start_ready(settings).await;
    fleet.store.set_faults(StoreFaults::new().with_outage(StoreOutage::Busy));
    let refused = || async {
        let response = call(&host, "id-1", "/lookup/").await;
        (response.reason() == "stale-configuration").then_some(response)
    };
    let response = eventually(refused)
        .await
        .expect("the key was accepted although the configuration is stale");
    assert_eq!(response.status, 503);
    assert!(!host.is_ready().await);
    // Public routes need no key and are served from the last known configuration.
    assert_eq!(call_with(&host, "id-2", "/open/", &[], "").await.status, 200);
    fleet.store.set_faults(StoreFaults::default());
    let served = || async { (call(&host, "id-3", "/lookup/").await.status == 200).then_some(()) };
    eventually(served).await.expect("the key is refused although the store is reachable again");
}

#[actix_rt::test]
async fn a_workspace_over_its_quota_is_refused_with_a_retry_after() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(1));
    let mut limited = configuration(2);
    limited["tenants"][0]["ratePerS"] = json!(10);
    limited["tenants"][0]["burst"] = json!(1000);
    fleet.put_configuration(limited);
    let settings = fleet.settings("h1").with_fleet("quota-slack", "0");
    let host = Daemon::start_ready(settings).await;
    let headers = [(KEY, DESK_KEY), (USAGE, "800,100")];
    assert_eq!(call_with(&host, "id-1", "/tags/", &headers, "").await.status, 200);
    let response = call_with(&host, "id-2", "/tags/", &headers, "").await;
    assert_eq!((response.status, response.reason().as_str()), (429, "over-quota"));
    let wait: f64 = response.headers["retry-after"].parse().unwrap();
    assert!(wait > 1.0, "{wait}");
    assert_eq!(fleet.runners[0].runs().len(), 1);
}
