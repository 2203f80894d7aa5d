//! Configuration changes through the operators' client while the key-value
//! service fails.

use comfreyway_proto::operator::ChangeOutcomeName;
use comfreyway_testkit::store::{StoreFaults, StoreOutage};
use futures_util::future::join_all;
use rstest::rstest;

use crate::config_fleet::{Fleet, change, class};

/// Exit codes of the client.
const DONE: Option<i32> = Some(0);
const CONFLICT: Option<i32> = Some(4);
const UNKNOWN: Option<i32> = Some(5);

/// Key that every change replaces by compare-and-swap.
const HEAD: &str = "config/head";

#[rstest]
#[case::two(2)]
#[case::ten(10)]
#[actix_rt::test]
async fn writers_of_different_classes_are_all_accepted(#[case] writers: u64) {
    let fleet = Fleet::start(3).await;
    let writes = (0..writers).map(|i| {
        let client = fleet.client(i as usize % 3);
        let change = change(1, i + 10, class(&format!("class-{i}"), 0));
        async move { client.change(change, false).await.unwrap() }
    });
    for report in join_all(writes).await {
        assert_eq!(report.outcome, ChangeOutcomeName::Accepted, "{report:?}");
    }
    for i in 0..3 {
        fleet.wait_for_version(i, writers + 1).await;
        assert_eq!(fleet.document(i).await.classes.len() as u64, writers + 1);
    }
}

#[actix_rt::test]
async fn one_of_ten_writers_of_one_class_is_accepted_and_nine_get_a_conflict() {
    let fleet = Fleet::start(3).await;
    let writes = (0..10).map(|i| {
        let client = fleet.client(i as usize % 3);
        let change = change(1, i + 10, class("quote", i as u8 + 1));
        async move { client.change(change, false).await.unwrap() }
    });
    let reports = join_all(writes).await;
    let accepted = reports.iter().filter(|r| r.outcome == ChangeOutcomeName::Accepted);
    assert_eq!(accepted.count(), 1);
    let refused = reports.iter().filter(|r| r.outcome == ChangeOutcomeName::Conflict);
    assert_eq!(refused.filter(|r| r.conflicts[0].theirs.is_some()).count(), 9);
}

#[actix_rt::test]
async fn a_lost_reply_is_read_back_and_reported_as_accepted() {
    let fleet = Fleet::start(1).await;
    fleet.kv.set_faults(StoreFaults::new().with_lost_replies(HEAD, 1));
    let output = fleet.run(0, &["class", "set", "triage", "tier=1", "whole-answer=2s"]);
    assert_eq!(output.status.code(), DONE, "{output:?}");
    let history = fleet.client(0).history().await.unwrap();
    assert_eq!(history.changes.len(), 2);
}

#[rstest]
#[case::unavailable(StoreOutage::Busy)]
#[case::cut(StoreOutage::Cut)]
#[case::hang(StoreOutage::Silent)]
#[actix_rt::test]
async fn an_outage_is_reported_as_unknown_and_a_repeat_applies_once(#[case] outage: StoreOutage) {
    let fleet = Fleet::start(1).await;
    let id = "1-00000000000000aa";
    let id_option = format!("--change-id={id}");
    let set = ["class", "set", &id_option, "triage", "tier=1", "whole-answer=2s"];
    fleet.kv.set_faults(StoreFaults::new().with_outage(outage));
    let output = fleet.run(0, &set);
    assert_eq!(output.status.code(), UNKNOWN, "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains(&format!("change show {id}")));
    assert_eq!(fleet.document(0).await.version, 1);
    fleet.kv.set_faults(StoreFaults::new());
    assert_eq!(fleet.run(0, &["change", "show", id]).status.code(), UNKNOWN);
    for _ in 0..2 {
        let output = fleet.run(0, &set);
        assert_eq!(output.status.code(), DONE, "{output:?}");
    }
    assert_eq!(fleet.run(0, &["change", "show", id]).status.code(), DONE);
    assert_eq!(fleet.count_applied(id.parse().unwrap()).await, 1);
}

#[actix_rt::test]
async fn a_lost_reply_under_a_write_limit_is_never_reported_as_refused() {
    let fleet = Fleet::start(1).await;
    let mine = change(1, 7, class("triage", 1));
    fleet.kv.set_faults(StoreFaults::new().with_lost_replies(HEAD, 1).with_writes_per_second(1));
    let first = fleet.client(0).change(mine.clone(), false).await.unwrap();
    assert_ne!(first.outcome, ChangeOutcomeName::Refused);
    fleet.kv.set_faults(StoreFaults::new());
    let again = fleet.client(0).change(mine.clone(), false).await.unwrap();
    assert_eq!(again.outcome, ChangeOutcomeName::Accepted);
    assert_eq!(fleet.count_applied(mine.id).await, 1);
}

#[actix_rt::test]
async fn the_client_reports_a_conflict_with_its_cause_and_exit_code() {
    let fleet = Fleet::start(1).await;
    let first = fleet.run(0, &["class", "set", "quote", "tier=1", "--author=aigul"]);
    assert_eq!(first.status.code(), DONE, "{first:?}");
    let late = ["class", "set", "--change-id=1-00000000000000bb", "quote", "tier=2"];
    let output = fleet.run(0, &late);
    assert_eq!(output.status.code(), CONFLICT, "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("written by aigul as version 2"), "{text}");
    assert!(text.contains("yours:  tier = 2") && text.contains("theirs: tier = 1"), "{text}");
}
