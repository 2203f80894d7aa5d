//! What the store has of versions and streams, after it has lost that.

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
    store::StoreCopy,
};
use rstest::rstest;

use crate::support::Daemon;

use super::{
    super::harness::{FleetHarness, configuration},
    RECORD, begin_broken, continued, remaining_events, take_up, take_up_after_replacement,
    wait_for_line, wait_for_record, wait_until_known,
};

/// Prefix of the store's items of streams.
const STREAMS: &str = "comfreyway/streams/";

/// How the store loses the record of versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// It comes back from so many copies of before the record, one after the other.
    OlderCopies(u64),
    /// Another writer deletes it.
    Deleted,
    /// Another writer puts this in its place.
    Overwritten(&'static [u8]),
}

impl Loss {
    /// Loses the record, and waits until the host knows of that.
    async fn apply(self, fleet: &FleetHarness, host: &Daemon, copy: &StoreCopy) {
        match self {
            Self::OlderCopies(copies) => {
                for era in 2..2 + copies {
                    fleet.store.restore(copy.clone());
                    assert!(!fleet.store.list("comfreyway/").contains(&RECORD.to_owned()));
                    wait_for_line(host, &format!("event=CF0546 era={era}")).await;
                }
            }
            Self::Deleted => fleet.store.delete(RECORD),
            Self::Overwritten(value) => {
                fleet.store.put(RECORD, value);
            }
        }
    }
}

/// Waits until the store has a record of these versions and the host has read it.
async fn wait_until_read(fleet: &FleetHarness, host: &Daemon, versions: &[&str]) {
    wait_for_record(fleet, versions).await;
    // Changes are read in their order.
    fleet.put_configuration(configuration(2));
    wait_for_line(host, "event=CF0511 version=2 ").await;
}

async fn kill(mut host: Daemon) {
    host.signal(Signal::Kill).unwrap();
    host.exited().await.unwrap();
}

/// The record was compared with what the host had read last, which stayed when the store lost
/// it: the record was never written again, as long as the same versions served.
#[rstest]
#[case::older_copy(Loss::OlderCopies(1))]
#[case::two_older_copies(Loss::OlderCopies(2))]
#[case::deleted(Loss::Deleted)]
#[case::unreadable(Loss::Overwritten(b"no record"))]
#[case::without_versions(Loss::Overwritten(b"{\"upstreams\":{}}"))]
#[actix_rt::test]
async fn the_record_of_versions_is_written_again_after_the_store_lost_it(#[case] loss: Loss) {
    let fleet = FleetHarness::new();
    let _runner = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let copy = fleet.store.copy();
    let host = fleet.start_host("h1").await;
    wait_until_read(&fleet, &host, &["v1"]).await;
    loss.apply(&fleet, &host, &copy).await;
    wait_for_record(&fleet, &["v1"]).await;
}

/// The next coordinator knows what the store had, not what it has lost.
#[actix_rt::test]
async fn the_record_of_versions_is_written_again_by_the_next_coordinator() {
    let fleet = FleetHarness::new();
    let _runner = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let copy = fleet.store.copy();
    let first = fleet.start_host("h1").await;
    let other = fleet.start_host("h2").await;
    wait_for_line(&other, "event=CF0532").await;
    wait_until_read(&fleet, &other, &["v1"]).await;
    fleet.store.restore(copy);
    kill(first).await;
    wait_for_record(&fleet, &["v1"]).await;
}

/// A record of the copy that lacks a version is not taken for the newest.
#[actix_rt::test]
async fn versions_that_the_copys_record_lacks_are_written_again() {
    let fleet = FleetHarness::new();
    let _first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    wait_for_record(&fleet, &["v1"]).await;
    let copy = fleet.store.copy();
    let _other = fleet.start_version("dala", "e2", "v2", RunnerMode::Whole);
    wait_until_read(&fleet, &host, &["v1", "v2"]).await;
    fleet.store.restore(copy);
    wait_for_line(&host, "event=CF0546 era=2").await;
    wait_for_record(&fleet, &["v1", "v2"]).await;
}

/// The store loses the record, then all hosts are killed while the runners are replaced: hosts
/// that started took the one version that they saw for the only one there had been.
#[actix_rt::test]
async fn no_stream_is_joined_from_two_versions_after_the_store_lost_their_record() {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let copy = fleet.store.copy();
    let host = fleet.start_host("h1").await;
    wait_until_read(&fleet, &host, &["v1"]).await;
    Loss::OlderCopies(1).apply(&fleet, &host, &copy).await;
    wait_for_record(&fleet, &["v1"]).await;
    begin_broken(&host, "began", &first).await;
    kill(host).await;
    take_up_after_replacement(&fleet).await;
}

/// Waits until the store has a stream's version.
async fn wait_for_stream(fleet: &FleetHarness) {
    let stored = || async { (!fleet.store.list(STREAMS).is_empty()).then_some(()) };
    eventually(stored).await.expect("the store has no item of streams");
}

/// The coordinator wrote each stream once, under a lease of the store's former era.
#[actix_rt::test]
async fn versions_of_streams_are_written_again_after_the_store_lost_them() {
    let fleet = FleetHarness::new();
    let first = fleet.start_version("dala", "e1", "v1", RunnerMode::Whole);
    let copy = fleet.store.copy();
    let host = fleet.start_host("h1").await;
    begin_broken(&host, "began", &first).await;
    let other = fleet.start_version("dala", "e2", "v2", RunnerMode::Whole);
    wait_for_stream(&fleet).await;
    fleet.store.restore(copy);
    assert!(fleet.store.list(STREAMS).is_empty());
    fleet.put_version(&other, "dala", "v2");
    wait_for_line(&host, "event=CF0546 era=2").await;
    wait_for_stream(&fleet).await;
    kill(host).await;
    let resumed = continued(&first);
    let host = fleet.start_host("h2").await;
    wait_until_known(&host, &first).await;
    wait_until_known(&host, &other).await;
    let response = take_up(&host, "again", "began").await;
    assert_eq!(response.body, Some(remaining_events()));
    assert_eq!((continued(&first) - resumed, continued(&other)), (1, 0));
}
