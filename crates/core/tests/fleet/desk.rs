//! Whom a host asks, and that it sends each request once.

use comfreyway_core::{
    fleet::{ClientAction, CoordinatorClient, PlacementReply, RequestUpdate},
    outcome::RetryReason,
};

use crate::support::{at, host, id, name, question};

#[test]
fn a_second_grant_sends_nothing() {
    let mut desk = CoordinatorClient::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    out.clear();
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("a")), &mut out);
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("a"))]);
}

#[test]
fn a_grant_of_a_coordinator_that_is_not_asked_any_more_counts_for_nothing() {
    let mut desk = CoordinatorClient::default();
    let mut out = Vec::new();
    desk.set_coordinator(at(0), Some(host("h2")), &mut out);
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.set_coordinator(at(10), None, &mut out);
    out.clear();
    desk.handle_reply(Some(&host("h2")), PlacementReply::Grant(id(1), name("a")), &mut out);
    assert!(out.is_empty());
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("b"))]);
}

#[test]
fn the_next_coordinator_hears_of_what_waits_and_of_what_was_sent() {
    let mut desk = CoordinatorClient::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.submit(at(0), question(2, 1.0), &mut out);
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("a")), &mut out);
    out.clear();
    desk.set_coordinator(at(50), Some(host("h2")), &mut out);
    let asked = |ask: &RequestUpdate| match ask {
        RequestUpdate::Adopt(question, runner) => {
            Some(format!("adopt {} at {runner}", question.record.id.value()))
        }
        RequestUpdate::Submit(question) => Some(format!(
            "place {} aged {} ms",
            question.record.id.value(),
            question.record.age.as_millis()
        )),
        _ => None,
    };
    let told: Vec<_> = out
        .iter()
        .filter_map(|action| match action {
            ClientAction::Send(Some(to), ask) if *to == host("h2") => asked(ask),
            _ => None,
        })
        .collect();
    assert_eq!(told, ["adopt 1 at a", "place 2 aged 50 ms"]);
}

#[test]
fn a_grant_for_a_caller_that_left_is_given_back() {
    let mut desk = CoordinatorClient::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.withdraw(id(1), &mut out);
    out.clear();
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("a")), &mut out);
    assert_eq!(out, [ClientAction::Send(None, RequestUpdate::Withdraw(id(1)))]);
}

#[test]
fn what_a_runner_did_not_run_waits_and_may_be_sent_again() {
    let mut desk = CoordinatorClient::default();
    let mut out = Vec::new();
    desk.submit(at(0), question(1, 1.0), &mut out);
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("a")), &mut out);
    desk.requeue(id(1), RetryReason::TurnedAway, &mut out);
    out.clear();
    desk.handle_reply(None, PlacementReply::Grant(id(1), name("b")), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("b"))]);
}
