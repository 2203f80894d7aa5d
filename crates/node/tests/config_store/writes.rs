//! Changes with a fault at each call.

use std::rc::Rc;

use comfreyway_core::config::{ChangeOutcome, Refusal, UnknownCause};
use comfreyway_node::config::{ConfigActor, ConfigHandle, NoPeers};
use comfreyway_platform::{EmbeddedKeyValue, KeyValue, Revision};
use futures_util::future::join_all;
use rstest::rstest;

use crate::{
    faults::{Fault, FaultyKeyValue},
    hosts::{change, class, name, wait_for},
};

/// Changes before the one under test: the next change writes a snapshot.
const PRIOR_CHANGES: u64 = 64;

/// More calls than one change with a snapshot makes.
const MAX_CALLS: u32 = 12;

fn start(kv: Rc<dyn KeyValue>) -> ConfigHandle {
    ConfigActor::start_on_control(name(0), kv, Rc::new(NoPeers))
}

async fn store_with_changes(count: u64) -> EmbeddedKeyValue {
    let kv = EmbeddedKeyValue::new();
    let host = start(Rc::new(kv.clone()));
    for i in 0..count {
        let edits = vec![class(&format!("class-{}", i % 5), (i % 3) as u8)];
        let outcome = host.change(change(i, i, edits)).await;
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    }
    kv
}

/// Returns a store with the same values.
async fn copy(kv: &EmbeddedKeyValue) -> EmbeddedKeyValue {
    let copy = EmbeddedKeyValue::new();
    for value in kv.list("").await.unwrap() {
        copy.compare_and_swap(&value.key, Revision(0), value.value, None).await.unwrap();
    }
    copy
}

/// Writes one change during the fault and repeats it without the fault. Returns
/// the first outcome.
async fn write_and_repeat(
    kv: &EmbeddedKeyValue,
    fault: Fault,
    first: u32,
    count: u32,
) -> ChangeOutcome {
    let kv = copy(kv).await;
    let faulty = start(Rc::new(FaultyKeyValue::new(&kv, fault, first, count)));
    let mine = change(PRIOR_CHANGES, 1_000, vec![class("mine", 1)]);
    let outcome = faulty.change(mine.clone()).await;
    let healed = start(Rc::new(kv));
    let again = healed.change(mine.clone()).await;
    let ChangeOutcome::Accepted { version, newest, .. } = again else { panic!("{again:?}") };
    assert_eq!(version, PRIOR_CHANGES + 1);
    assert_eq!(newest.history().iter().filter(|change| change.id == mine.id).count(), 1);
    outcome
}

#[rstest]
#[case(Fault::LostReply)]
#[case(Fault::LostCall)]
#[case(Fault::Refused)]
#[actix_rt::test]
async fn one_failed_call_at_any_step_still_ends_in_acceptance(#[case] fault: Fault) {
    let kv = store_with_changes(PRIOR_CHANGES).await;
    let runs = (0..MAX_CALLS).map(|call| write_and_repeat(&kv, fault, call, 1));
    for (call, outcome) in join_all(runs).await.into_iter().enumerate() {
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "call {call}: {outcome:?}");
    }
}

#[rstest]
#[case(Fault::LostReply)]
#[case(Fault::LostCall)]
#[case(Fault::Refused)]
#[actix_rt::test]
async fn an_outage_from_any_step_on_is_never_reported_as_refused(#[case] fault: Fault) {
    let kv = store_with_changes(PRIOR_CHANGES).await;
    let runs = (0..MAX_CALLS).map(|call| write_and_repeat(&kv, fault, call, u32::MAX));
    let outcomes = join_all(runs).await;
    assert!(matches!(outcomes[0], ChangeOutcome::Unknown { .. }), "{:?}", outcomes[0]);
    for (call, outcome) in outcomes.into_iter().enumerate() {
        let accepted = matches!(
            outcome,
            ChangeOutcome::Accepted { version, .. } if version == PRIOR_CHANGES + 1
        );
        assert!(accepted || matches!(outcome, ChangeOutcome::Unknown { .. }), "call {call}");
    }
}

#[actix_rt::test]
async fn ten_writers_of_different_elements_are_all_accepted() {
    let kv = store_with_changes(1).await;
    let hosts: Vec<_> = (0..10).map(|_| start(Rc::new(kv.clone()))).collect();
    let writes = hosts.iter().enumerate().map(|(i, host)| {
        host.change(change(1, i as u64 + 10, vec![class(&format!("mine-{i}"), 0)]))
    });
    for outcome in join_all(writes).await {
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    }
    let reader = start(Rc::new(kv));
    wait_for(&reader, 11).await;
    assert_eq!(reader.document().borrow().classes.len(), 11);
}

#[actix_rt::test]
async fn one_of_two_writers_of_one_element_gets_a_conflict_with_the_other() {
    let kv = store_with_changes(1).await;
    let hosts = [start(Rc::new(kv.clone())), start(Rc::new(kv))];
    let writes = hosts.iter().enumerate().map(|(i, host)| {
        host.change(change(1, i as u64 + 10, vec![class("class-0", i as u8 + 4)]))
    });
    let outcomes = join_all(writes).await;
    let accepted = |o: &&ChangeOutcome| matches!(o, ChangeOutcome::Accepted { .. });
    assert_eq!(outcomes.iter().filter(accepted).count(), 1);
    let conflict = |o: &&ChangeOutcome| matches!(o, ChangeOutcome::Refused(Refusal::Conflict(c)) if c[0].theirs.is_some());
    assert_eq!(outcomes.iter().filter(conflict).count(), 1);
}

#[actix_rt::test]
async fn old_snapshots_are_removed_and_a_fresh_host_reads_the_newest() {
    let kv = store_with_changes(3 * PRIOR_CHANGES).await;
    let parts = kv.list("config/snapshot/").await.unwrap();
    assert_eq!(parts.len(), 1, "one snapshot of one part is left");
    let fresh = start(Rc::new(kv));
    wait_for(&fresh, 3 * PRIOR_CHANGES).await;
    assert_eq!(fresh.accepted().history().len() as u64, 3 * PRIOR_CHANGES);
}

#[actix_rt::test]
async fn nothing_is_written_to_a_store_that_lost_its_data() {
    let kv = store_with_changes(3).await;
    let host = start(Rc::new(kv.clone()));
    wait_for(&host, 3).await;
    let head = kv.get("config/head").await.unwrap().unwrap();
    kv.compare_and_delete("config/head", head.revision).await.unwrap();
    let outcome = host.change(change(3, 9, vec![class("mine", 1)])).await;
    let behind = UnknownCause::StoreBehind;
    assert!(matches!(outcome, ChangeOutcome::Unknown { cause, .. } if cause == behind));
    assert!(kv.get("config/head").await.unwrap().is_none());
    assert_eq!(host.document().borrow().version, 3);
}
