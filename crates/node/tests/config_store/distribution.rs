//! Distribution between hosts while the store fails.

use std::rc::Rc;

use comfreyway_core::config::ChangeOutcome;
use comfreyway_platform::EmbeddedKeyValue;

use crate::{
    faults::{Fault, FaultyKeyValue},
    hosts::{Hosts, change, class, wait_for},
};

const HOSTS: usize = 9;

fn unreachable_store() -> Rc<FaultyKeyValue> {
    let kv = FaultyKeyValue::new(&EmbeddedKeyValue::new(), Fault::Refused, 0, u32::MAX);
    Rc::new(kv.with_silent_watch())
}

/// Starts nine hosts, of which only the first reaches the store, and distributes
/// one change.
async fn distribute_from_one() -> Hosts {
    let hosts = Hosts::default();
    let writer = hosts.start(0, Rc::new(EmbeddedKeyValue::new()));
    for i in 1..HOSTS {
        hosts.start(i, unreachable_store());
    }
    let outcome = writer.change(change(0, 1, vec![class("quote", 0)])).await;
    assert!(matches!(outcome, ChangeOutcome::Accepted { version: 1, .. }), "{outcome:?}");
    for host in hosts.all() {
        wait_for(&host, 1).await;
    }
    hosts
}

#[actix_rt::test]
async fn a_change_reaches_hosts_that_can_not_read_the_store() {
    let hosts = distribute_from_one().await;
    for host in hosts.all() {
        assert!(host.ready().wait_for(|ready| *ready).await.is_ok());
        assert_eq!(host.status().await.unwrap().version, 1);
    }
}

#[actix_rt::test]
async fn hosts_restarted_one_by_one_without_the_store_keep_the_version() {
    let hosts = distribute_from_one().await;
    for i in 0..HOSTS {
        hosts.kill(i);
        let fresh = hosts.start(i, unreachable_store());
        assert!(fresh.ready().wait_for(|ready| *ready).await.is_ok());
        assert_eq!(fresh.document().borrow().version, 1);
    }
}

#[actix_rt::test]
async fn a_host_that_missed_more_than_the_history_catches_up_by_snapshot() {
    let hosts = Hosts::default();
    let writer = hosts.start(0, Rc::new(EmbeddedKeyValue::new()));
    for i in 0..300 {
        let edits = vec![class(&format!("class-{}", i % 7), (i % 3) as u8)];
        let outcome = writer.change(change(i, i, edits)).await;
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    }
    let late = hosts.start(1, unreachable_store());
    wait_for(&late, 300).await;
    assert_eq!(late.accepted(), hosts.get(0).accepted());
}

#[actix_rt::test]
async fn a_change_is_read_when_the_watch_is_silent() {
    let kv = EmbeddedKeyValue::new();
    let silent = FaultyKeyValue::new(&kv, Fault::Refused, u32::MAX, 0).with_silent_watch();
    let reader = Hosts::default().start(0, Rc::new(silent));
    assert!(reader.ready().wait_for(|ready| *ready).await.is_ok());
    let writer = Hosts::default().start(1, Rc::new(kv));
    let outcome = writer.change(change(0, 1, vec![class("quote", 0)])).await;
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    wait_for(&reader, 1).await;
}
