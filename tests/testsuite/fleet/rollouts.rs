//! Rollouts of a version, ordered in the store.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::Signal,
    fleet_runner::{FleetRunner, RunnerMode},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::Daemon;

use super::harness::{FleetHarness, call};

const ORDER: &str = "op/rollout/survey";
const STATUS: &str = "status/rollout/survey";

/// Time for a rollout to end, in seconds.
const DURATION_S: f64 = 4.0;

/// Maximum number of requests until a rollout has to end.
const MAX_REQUESTS: usize = 2_000;

struct RolloutFleet {
    fleet: FleetHarness,
    old: FleetRunner,
    new: FleetRunner,
}

impl RolloutFleet {
    /// Starts a runner of each version.
    fn new(new_mode: RunnerMode) -> Self {
        let fleet = FleetHarness::new();
        let old = fleet.start_version("survey", "s1", "v1", RunnerMode::Whole);
        let new = fleet.start_version("survey", "s2", "v2", new_mode);
        Self { fleet, old, new }
    }

    async fn start_host(&self, name: &str) -> Daemon {
        let settings = self.fleet.settings(name).with_fleet("rollout-share", "0.1");
        Daemon::start_ready(settings.with_fleet("rollout-slack", "50")).await
    }

    fn order(&self) {
        let order = json!({ "service": "survey", "target": "v2", "durationS": DURATION_S });
        self.fleet.store.put(ORDER, order.to_string().as_bytes());
    }

    fn status(&self) -> Value {
        let item = self.fleet.store.keys().with_store(|keys, now| keys.get(STATUS, now));
        item.map_or(Value::Null, |item| serde_json::from_slice(&item.value).unwrap())
    }

    /// Sends requests until the rollout has this state.
    async fn call_until(&self, host: &Daemon, state: &str) {
        for number in 0..MAX_REQUESTS {
            if self.status()["state"] == state {
                return;
            }
            call(host, &format!("id-{number}"), "/lookup/").await;
            actix_rt::time::sleep(Duration::from_millis(4)).await;
        }
        panic!("not {state} but {}", self.status());
    }
}

#[actix_rt::test]
async fn a_good_version_gets_all_requests_by_the_deadline() {
    let play = RolloutFleet::new(RunnerMode::Whole);
    let host = play.start_host("h1").await;
    play.order();
    play.call_until(&host, "completed").await;
    assert_eq!(play.status()["target"], "v2");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let old = play.old.arrivals();
    for number in 0..10 {
        assert_eq!(call(&host, &format!("after-{number}"), "/lookup/").await.status, 200);
    }
    assert_eq!(play.old.arrivals(), old);
}

#[rstest]
#[case::failing(RunnerMode::Fails)]
#[case::breaking(RunnerMode::Disconnect)]
#[actix_rt::test]
async fn a_bad_version_gets_nothing_once_it_is_found(#[case] mode: RunnerMode) {
    let play = RolloutFleet::new(mode);
    let host = play.start_host("h1").await;
    play.order();
    play.call_until(&host, "rolled_back").await;
    let (old, new) = (play.old.arrivals(), play.new.arrivals());
    assert!(new <= (old + new) / 10 + 50, "{new} beside {old}");
    for number in 0..20 {
        assert_eq!(call(&host, &format!("after-{number}"), "/lookup/").await.status, 200);
    }
    assert_eq!(play.new.arrivals(), new);
}

/// The verdict stands in the store, so that it outlasts all hosts.
#[actix_rt::test]
async fn a_verdict_outlasts_the_hosts_that_found_it() {
    let play = RolloutFleet::new(RunnerMode::Fails);
    let mut host = play.start_host("h1").await;
    play.order();
    play.call_until(&host, "rolled_back").await;
    host.signal(Signal::Kill).unwrap();
    host.exited().await.unwrap();
    let new = play.new.arrivals();
    let host = play.start_host("h2").await;
    for number in 0..20 {
        assert_eq!(call(&host, &format!("after-{number}"), "/lookup/").await.status, 200);
    }
    assert_eq!(play.new.arrivals(), new);
}

/// The store comes back from a copy that has the order and no verdict.
#[actix_rt::test]
async fn a_verdict_that_the_store_lost_is_written_again() {
    let play = RolloutFleet::new(RunnerMode::Fails);
    let host = play.start_host("h1").await;
    play.order();
    let copy = play.fleet.store.copy();
    play.call_until(&host, "rolled_back").await;
    let new = play.new.arrivals();
    play.fleet.store.restore(copy);
    assert_eq!(play.status(), Value::Null);
    play.call_until(&host, "rolled_back").await;
    assert_eq!(play.new.arrivals(), new);
}

/// The operators have repaired the version and order it again.
#[actix_rt::test]
async fn an_order_given_again_starts_anew() {
    let play = RolloutFleet::new(RunnerMode::Fails);
    let host = play.start_host("h1").await;
    play.order();
    play.call_until(&host, "rolled_back").await;
    play.new.set_mode(RunnerMode::Whole);
    play.order();
    play.call_until(&host, "completed").await;
    assert!(host.log().contains("phase=rolled-back"));
}

#[rstest]
#[case::not_json("{")]
#[case::no_target(r#"{"service":"survey","durationS":3}"#)]
#[case::endless(r#"{"service":"survey","target":"v2","durationS":1e300}"#)]
#[case::other_service(r#"{"service":"dala","target":"v2","durationS":3}"#)]
#[actix_rt::test]
async fn an_order_that_cannot_be_read_changes_nothing(#[case] order: &str) {
    let play = RolloutFleet::new(RunnerMode::Whole);
    let host = play.start_host("h1").await;
    play.fleet.store.put(ORDER, order.as_bytes());
    for number in 0..20 {
        assert_eq!(call(&host, &format!("id-{number}"), "/lookup/").await.status, 200);
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert!(host.log().contains("event=CF0513 key=op/rollout/survey"), "{}", host.log());
    assert_eq!(play.status(), Value::Null);
}
