//! Whom a host asks, and that it sends each request once.

use comfreyway_core::{
    fleet::{Ask, Desk, DeskAction, Tell},
    outcome::RetryReason,
};

use crate::support::{at, host, id, name, question};

#[test]
fn a_second_grant_sends_nothing() {
    let mut desk = Desk::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    out.clear();
    desk.told(None, Tell::Grant(id(1), name("a")), &mut out);
    desk.told(None, Tell::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [DeskAction::Dispatch(id(1), name("a"))]);
}

#[test]
fn a_grant_of_a_coordinator_that_is_not_asked_any_more_counts_for_nothing() {
    let mut desk = Desk::default();
    let mut out = Vec::new();
    desk.follow(at(0), Some(host("h2")), &mut out);
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.follow(at(10), None, &mut out);
    out.clear();
    desk.told(Some(&host("h2")), Tell::Grant(id(1), name("a")), &mut out);
    assert!(out.is_empty());
    desk.told(None, Tell::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [DeskAction::Dispatch(id(1), name("b"))]);
}

#[test]
fn the_next_coordinator_hears_of_what_waits_and_of_what_was_sent() {
    let mut desk = Desk::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.submit(at(0), question(2, 1.0), &mut out);
    desk.told(None, Tell::Grant(id(1), name("a")), &mut out);
    out.clear();
    desk.follow(at(50), Some(host("h2")), &mut out);
    let asked = |ask: &Ask| match ask {
        Ask::Adopt(question, runner) => {
            Some(format!("adopt {} at {runner}", question.record.id.value()))
        }
        Ask::Place(question) => Some(format!(
            "place {} aged {} ms",
            question.record.id.value(),
            question.record.age.as_millis()
        )),
        _ => None,
    };
    let told: Vec<_> = out
        .iter()
        .filter_map(|action| match action {
            DeskAction::Ask(Some(to), ask) if *to == host("h2") => asked(ask),
            _ => None,
        })
        .collect();
    assert_eq!(told, ["adopt 1 at a", "place 2 aged 50 ms"]);
}

#[test]
fn a_grant_for_a_caller_that_left_is_given_back() {
    let mut desk = Desk::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.withdraw(id(1), &mut out);
    out.clear();
    desk.told(None, Tell::Grant(id(1), name("a")), &mut out);
    assert_eq!(out, [DeskAction::Ask(None, Ask::Withdraw(id(1)))]);
}

#[test]
fn what_a_runner_did_not_run_waits_and_may_be_sent_again() {
    let mut desk = Desk::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.told(None, Tell::Grant(id(1), name("a")), &mut out);
    desk.not_run(id(1), RetryReason::TurnedAway, &mut out);
    out.clear();
    desk.told(None, Tell::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [DeskAction::Dispatch(id(1), name("b"))]);
}
