//! Entries in the store of hosts that lost power, some by clocks that were set back since.

use std::{net::TcpListener, time::Duration};

use actix_rt::time::{sleep, timeout};
use comfreyway_testkit::{
    daemon::{eventually, unused_address},
    fleet_runner::RunnerMode,
};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;

use crate::support::Daemon;

use super::harness::{FleetHarness, try_call_at};

const HOSTS: usize = 4;

/// Time of the users' deployments for recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Microseconds of a clock that is years ahead.
const AHEAD_US: u64 = 4_000_000_000_000_000;

/// Entries that don't expire, as if the store had paused its leases.
#[derive(Clone, Copy, Debug)]
struct Stale {
    /// Of the hosts that come back.
    own: Option<u64>,
    /// Number of hosts that don't come back, and their incarnation.
    others: (usize, u64),
    /// The addresses accept connections and are silent.
    is_silent: bool,
}

/// Keeps the addresses of silent hosts.
struct Entries {
    _silent: Vec<TcpListener>,
}

impl Entries {
    fn put(fleet: &FleetHarness, stale: Stale) -> Self {
        let mut silent = Vec::new();
        let own = stale
            .own
            .into_iter()
            .flat_map(|incarnation| (0..HOSTS).map(move |host| (format!("h{host}"), incarnation)));
        let (count, incarnation) = stale.others;
        let others = (0..count).map(|host| (format!("gone{host}"), incarnation));
        for (name, incarnation) in own.chain(others) {
            let address = unused_address().unwrap();
            if stale.is_silent {
                silent.push(TcpListener::bind(address).unwrap());
            }
            let id = json!({ "name": name, "incarnation": incarnation });
            let entry = json!({ "id": id, "address": address, "token": 7, "millicores": 1_000 });
            fleet.store.put(&format!("comfreyway/hosts/{name}"), entry.to_string().as_bytes());
        }
        Self { _silent: silent }
    }
}

async fn wait_until_served(host: &Daemon) {
    for attempt in 0.. {
        let id = format!("{}-{attempt}", host.settings().name);
        let response = try_call_at(host.settings().callers, &id, "/lookup/count/").await;
        if response.is_some_and(|response| response.status == 200) {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[rstest]
#[case::clocks_were_set_back(Stale { own: Some(AHEAD_US), others: (0, 0), is_silent: false })]
#[case::clocks_were_behind(Stale { own: Some(1), others: (0, 0), is_silent: false })]
#[case::clocks_were_behind_and_hosts_are_silent(
    Stale { own: Some(1), others: (6, 1), is_silent: true }
)]
#[case::older_hosts_do_not_come_back(Stale { own: None, others: (6, 1), is_silent: true })]
#[actix_rt::test]
async fn hosts_serve_within_the_time_for_recovery_beside_entries_of_former_ones(
    #[case] stale: Stale,
) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let _entries = Entries::put(&fleet, stale);
    let settings: Vec<_> = (0..HOSTS).map(|host| fleet.settings(&format!("h{host}"))).collect();
    let hosts: Vec<_> = settings.into_iter().map(Daemon::start).collect();
    let served = timeout(RECOVERY_TIME, join_all(hosts.iter().map(wait_until_served))).await;
    assert!(served.is_ok(), "not all hosts serve: {stale:?}");
}

/// Hosts went round among the silent ones, since they tried the first again before the last.
#[rstest]
#[case::three(3)]
#[case::four(4)]
#[case::twenty_four(24)]
#[actix_rt::test]
async fn hosts_find_a_common_coordinator_beside_older_ones_that_are_silent(#[case] silent: usize) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let entries = Entries::put(&fleet, Stale { own: None, others: (silent, 1), is_silent: true });
    let settings: Vec<_> = (0..HOSTS).map(|host| fleet.settings(&format!("h{host}"))).collect();
    let hosts: Vec<_> = settings.into_iter().map(Daemon::start).collect();
    let connected = || async {
        let connected = hosts.iter().filter(|host| host.log().contains("event=CF0532"));
        (connected.count() == HOSTS - 1).then_some(())
    };
    eventually(connected).await.expect("the hosts have no common coordinator");
    drop(entries);
}
