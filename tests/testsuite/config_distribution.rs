//! Distribution of accepted changes to all daemons.

use std::time::{Duration, Instant};

use comfreyway_proto::operator::ChangeOutcomeName;
use comfreyway_testkit::{
    daemon::Signal,
    store::{StoreFaults, StoreOutage},
};
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use crate::config_fleet::{Fleet, change, class, start_daemon};

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Changes whose distribution time is measured.
const MEASURED_CHANGES: u64 = 60;

async fn accept_change(fleet: &Fleet, i: usize, base: u64) {
    let change = change(base, base, class(&format!("class-{}", base % 5), (base % 3) as u8));
    let report = fleet.client(i).change(change, false).await.unwrap();
    assert_eq!(report.outcome, ChangeOutcomeName::Accepted, "{report:?}");
}

#[actix_rt::test]
async fn an_accepted_change_is_in_force_on_nine_hosts_within_seconds() {
    let fleet = Fleet::start(9).await;
    let mut times = Histogram::<u64>::new(3).unwrap();
    for version in 1..=MEASURED_CHANGES {
        accept_change(&fleet, version as usize % 9, version).await;
        let accepted = Instant::now();
        join_all((0..9).map(|i| fleet.wait_for_version(i, version + 1))).await;
        assert!(accepted.elapsed() < IN_FORCE_LIMIT);
        times.record(accepted.elapsed().as_millis() as u64).unwrap();
    }
    println!(
        "in force on 9 hosts after: p50 {} ms, p99 {} ms, max {} ms",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

#[actix_rt::test]
async fn a_change_is_distributed_when_the_service_fails_right_after_it_accepted() {
    let fleet = Fleet::start(9).await;
    accept_change(&fleet, 4, 1).await;
    fleet.kv.set_faults(StoreFaults::new().with_outage(StoreOutage::Cut));
    let accepted = Instant::now();
    join_all((0..9).map(|i| fleet.wait_for_version(i, 2))).await;
    assert!(accepted.elapsed() < IN_FORCE_LIMIT);
}

#[actix_rt::test]
async fn daemons_restarted_one_by_one_without_the_service_keep_the_version() {
    let mut fleet = Fleet::start(4).await;
    accept_change(&fleet, 0, 1).await;
    for i in 0..4 {
        fleet.wait_for_version(i, 2).await;
    }
    fleet.kv.set_faults(StoreFaults::new().with_outage(StoreOutage::Busy));
    for i in 0..4 {
        let settings = fleet.daemons[i].settings().clone();
        fleet.daemons[i].signal(Signal::Kill).unwrap();
        fleet.daemons[i].exited().await.unwrap();
        fleet.daemons[i] = start_daemon(settings);
        fleet.daemons[i].ready().await.unwrap();
        assert_eq!(fleet.document(i).await.version, 2);
    }
}

#[actix_rt::test]
async fn a_frozen_daemon_catches_up_with_three_changes() {
    let fleet = Fleet::start(4).await;
    fleet.daemons[3].signal(Signal::Stop).unwrap();
    for base in 1..=3 {
        accept_change(&fleet, 0, base).await;
    }
    fleet.daemons[3].signal(Signal::Continue).unwrap();
    fleet.wait_for_version(3, 4).await;
    assert_eq!(fleet.document(3).await, fleet.document(0).await);
}
