//! Tests that the embedded key-value service and the one on the platform's store
//! keep the same contract, and that failures of the store are reported as either
//! not done or uncertain.

#![allow(clippy::unwrap_used)]

use std::{rc::Rc, time::Duration};

use comfreyway_adapter::{StoreClient, StoreKeyValue};
use comfreyway_platform::{
    CasOutcome, EmbeddedKeyValue, KeyValue, KvEvent, PlatformError, Revision,
};
use comfreyway_testkit::{
    daemon::{eventually, unused_address},
    store::{StoreFaults, StoreOutage, StoreStandIn},
};
use futures_util::StreamExt;
use rstest::rstest;

/// A client and its service.
struct Fixture {
    kv: Rc<dyn KeyValue>,
    _standin: Option<StoreStandIn>,
}

fn embedded() -> Fixture {
    Fixture { kv: Rc::new(EmbeddedKeyValue::new()), _standin: None }
}

fn store() -> Fixture {
    let standin = StoreStandIn::start().unwrap();
    Fixture { kv: Rc::new(client(&standin)), _standin: Some(standin) }
}

fn client(standin: &StoreStandIn) -> StoreKeyValue {
    StoreKeyValue::new(StoreClient::new(standin.address()))
}

async fn written(kv: &dyn KeyValue, key: &str, expected: Revision, value: &str) -> Revision {
    match kv.compare_and_swap(key, expected, value.into(), None).await.unwrap() {
        CasOutcome::Written(revision) => revision,
        CasOutcome::Mismatch(present) => panic!("{key} is at {present:?}"),
    }
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn compare_and_swap_writes_only_at_the_expected_revision(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    assert_eq!(kv.get("a").await, Ok(None));
    let first = written(kv, "a", Revision(0), "1").await;
    let second = written(kv, "a", first, "2").await;
    assert!(second > first);
    let stale = kv.compare_and_swap("a", first, b"3".to_vec(), None).await.unwrap();
    let CasOutcome::Mismatch(Some(present)) = stale else { panic!("{stale:?}") };
    assert_eq!((present.value.as_slice(), present.revision), (&b"2"[..], second));
    let missing = kv.compare_and_swap("b", first, b"3".to_vec(), None).await;
    assert_eq!(missing, Ok(CasOutcome::Mismatch(None)));
    assert_eq!(kv.get("a").await.unwrap().unwrap().value, b"2");
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn compare_and_delete_deletes_only_at_the_expected_revision(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    let first = written(kv, "a", Revision(0), "1").await;
    let second = written(kv, "a", first, "2").await;
    let stale = kv.compare_and_delete("a", first).await.unwrap();
    assert!(matches!(stale, CasOutcome::Mismatch(Some(_))));
    let done = kv.compare_and_delete("a", second).await.unwrap();
    assert!(matches!(done, CasOutcome::Written(r) if r > second));
    assert_eq!(kv.get("a").await, Ok(None));
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn list_returns_the_keys_of_the_prefix_in_order(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    for key in ["x/b", "y/a", "x/a", "x"] {
        written(kv, key, Revision(0), key).await;
    }
    let keys = |entries: Vec<comfreyway_platform::Versioned>| {
        entries.into_iter().map(|e| e.key).collect::<Vec<_>>()
    };
    assert_eq!(keys(kv.list("x/").await.unwrap()), ["x/a", "x/b"]);
    assert_eq!(keys(kv.list("").await.unwrap()), ["x", "x/a", "x/b", "y/a"]);
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn watch_reports_past_and_later_changes_in_order(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    let first = written(kv, "x/a", Revision(0), "1").await;
    let second = written(kv, "x/a", first, "2").await;
    written(kv, "y", Revision(0), "0").await;
    let mut watch = kv.watch("x/", first);
    let event = watch.next().await.unwrap().unwrap();
    assert!(matches!(&event, KvEvent::Put(e) if e.value == b"2" && e.revision == second));
    kv.compare_and_delete("x/a", second).await.unwrap();
    let event = watch.next().await.unwrap().unwrap();
    assert!(
        matches!(&event, KvEvent::Delete { key, revision } if key == "x/a" && *revision > second)
    );
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn keys_are_deleted_when_their_lease_expires(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    let lease = kv.grant_lease(Duration::from_secs(1)).await.unwrap();
    kv.compare_and_swap("a", Revision(0), b"1".to_vec(), Some(lease)).await.unwrap();
    assert_eq!(kv.renew_lease(lease).await, Ok(Duration::from_secs(1)));
    let written = kv.get("a").await.unwrap().unwrap().revision;
    let event = kv.watch("a", written).next().await.unwrap().unwrap();
    assert!(matches!(event, KvEvent::Delete { .. }));
    assert_eq!(kv.renew_lease(lease).await, Err(PlatformError::LeaseExpired));
    let late = kv.compare_and_swap("a", Revision(0), b"2".to_vec(), Some(lease)).await;
    assert_eq!(late, Err(PlatformError::LeaseExpired));
    assert_eq!(kv.get("a").await, Ok(None));
}

#[rstest]
#[case::embedded(embedded())]
#[case::store(store())]
#[actix_rt::test]
async fn revoked_lease_deletes_its_keys(#[case] fixture: Fixture) {
    let kv = &*fixture.kv;
    let lease = kv.grant_lease(Duration::from_secs(60)).await.unwrap();
    kv.compare_and_swap("a", Revision(0), b"1".to_vec(), Some(lease)).await.unwrap();
    kv.revoke_lease(lease).await.unwrap();
    assert_eq!(kv.get("a").await, Ok(None));
    assert_eq!(kv.revoke_lease(lease).await, Err(PlatformError::LeaseExpired));
}

#[test]
fn leases_follow_the_clock_that_is_passed_in() {
    let time = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let clock = time.clone();
    let kv = EmbeddedKeyValue::with_clock(move || {
        Duration::from_secs(clock.load(std::sync::atomic::Ordering::Relaxed))
    });
    actix_rt::System::new().block_on(async {
        let lease = kv.grant_lease(Duration::from_secs(10)).await.unwrap();
        kv.compare_and_swap("a", Revision(0), b"1".to_vec(), Some(lease)).await.unwrap();
        time.store(9, std::sync::atomic::Ordering::Relaxed);
        kv.renew_lease(lease).await.unwrap();
        time.store(18, std::sync::atomic::Ordering::Relaxed);
        assert!(kv.get("a").await.unwrap().is_some());
        time.store(19, std::sync::atomic::Ordering::Relaxed);
        assert_eq!(kv.get("a").await, Ok(None));
    });
}

#[actix_rt::test]
async fn refused_connection_is_reported_as_not_done() {
    let kv = StoreKeyValue::new(StoreClient::new(unused_address().unwrap()));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::NotDone(_))), "{result:?}");
}

#[rstest]
#[case::cut(StoreOutage::Cut)]
#[case::hang(StoreOutage::Silent)]
#[actix_rt::test]
async fn outage_after_sending_is_reported_as_uncertain(#[case] outage: StoreOutage) {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    standin.set_faults(StoreFaults::new().with_outage(outage));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::Uncertain(_))), "{result:?}");
    standin.set_faults(StoreFaults::new());
    assert_eq!(kv.get("a").await, Ok(None));
}

#[rstest]
#[case::busy(StoreOutage::Busy)]
#[case::rate_limited(StoreOutage::RateLimited)]
#[actix_rt::test]
async fn refused_call_is_reported_as_not_done(#[case] outage: StoreOutage) {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    standin.set_faults(StoreFaults::new().with_outage(outage));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::NotDone(_))), "{result:?}");
}

#[actix_rt::test]
async fn write_with_lost_reply_may_take_effect_later() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    let delay = Duration::from_millis(50);
    standin.set_faults(StoreFaults::new().with_lost_replies("a", 1).with_effects_after(delay));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::Uncertain(_))), "{result:?}");
    let done = || async { kv.get("a").await.unwrap() };
    assert_eq!(eventually(done).await.unwrap().value, b"1");
}

#[actix_rt::test]
async fn delayed_write_with_stale_condition_has_no_effect() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    let delay = Duration::from_millis(50);
    standin.set_faults(StoreFaults::new().with_lost_replies("a", 1).with_effects_after(delay));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(result.is_err(), "{result:?}");
    written(&kv, "a", Revision(0), "2").await;
    actix_rt::time::sleep(2 * delay).await;
    assert_eq!(kv.get("a").await.unwrap().unwrap().value, b"2");
}

#[actix_rt::test]
async fn write_with_lost_reply_is_uncertain_and_takes_effect() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    standin.set_faults(StoreFaults::new().with_lost_replies("epoch/", 1));
    written(&kv, "other", Revision(0), "1").await;
    let result = kv.compare_and_swap("epoch/a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::Uncertain(_))), "{result:?}");
    assert_eq!(kv.get("epoch/a").await.unwrap().unwrap().value, b"1");
    assert_eq!(standin.calls().txn, 2);
}

#[actix_rt::test]
async fn rate_limited_call_is_reported_as_not_done() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    standin.set_faults(StoreFaults::new().with_writes_per_second(0));
    let result = kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await;
    assert!(matches!(result, Err(PlatformError::NotDone(_))), "{result:?}");
    assert_eq!(kv.get("a").await, Ok(None));
}

/// Waits until `count` watches are waiting at the store.
async fn wait_for_watches(standin: &StoreStandIn, count: i64) {
    let reached = || async { (standin.calls().waiting_watches == count).then_some(()) };
    eventually(reached).await.unwrap_or_else(|| panic!("{count} watches never waited"));
}

#[actix_rt::test]
async fn watch_ends_with_an_error_if_cut_or_silent() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    written(&kv, "a", Revision(0), "1").await;
    let mut watch = kv.watch("a", Revision(0));
    watch.next().await.unwrap().unwrap();
    let fail = async {
        wait_for_watches(&standin, 1).await;
        standin.set_faults(StoreFaults::new().with_outage(StoreOutage::Cut));
    };
    let (event, ()) = futures_util::join!(watch.next(), fail);
    assert!(event.unwrap().is_err());
    assert!(watch.next().await.is_none());
    // The timeout of the watch detects a silent store.
    standin.set_faults(StoreFaults::new().with_outage(StoreOutage::Silent));
    let mut watch = kv.watch("a", Revision(1));
    assert!(watch.next().await.unwrap().is_err());
}

#[actix_rt::test]
async fn paused_leases_expire_after_they_resume() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    let ttl = Duration::from_millis(100);
    standin.pause_leases(true);
    let lease = kv.grant_lease(ttl).await.unwrap();
    kv.compare_and_swap("a", Revision(0), b"1".to_vec(), Some(lease)).await.unwrap();
    actix_rt::time::sleep(3 * ttl).await;
    assert!(kv.get("a").await.unwrap().is_some());
    standin.pause_leases(false);
    let removed = || async { kv.get("a").await.unwrap().is_none().then_some(()) };
    eventually(removed).await.expect("the lease expires");
}

#[actix_rt::test]
async fn keys_survive_a_restart_of_the_store() {
    let mut standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    written(&kv, "a", Revision(0), "1").await;
    standin.stop();
    assert!(kv.get("a").await.is_err());
    standin.start_again().unwrap();
    assert!(kv.get("a").await.unwrap().is_some());
}

#[actix_rt::test]
async fn dropped_watch_stops_waiting_at_the_store() {
    let standin = StoreStandIn::start().unwrap();
    let kv = client(&standin);
    let mut events = kv.watch("a", Revision(0));
    written(&kv, "a", Revision(0), "1").await;
    events.next().await.unwrap().unwrap();
    tokio::select! {
        event = events.next() => panic!("{event:?}"),
        () = wait_for_watches(&standin, 1) => {}
    }
    drop(events);
    wait_for_watches(&standin, 0).await;
}
