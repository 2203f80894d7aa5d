//! The host's side of a session: it reports to the current coordinator and
//! dispatches each request once.

use comfreyway_core::{
    fleet::{ClientAction, CoordinatorClient, PlacementReply, RequestUpdate},
    outcome::RetryReason,
};

use crate::support::{at, host, id, name, placement_request, set_coordinator};

#[test]
fn second_grant_does_not_dispatch_again() {
    let mut client = CoordinatorClient::<()>::default();
    let mut out = Vec::new();
    client.submit(at(0), placement_request(1, 1.0), &mut out);
    out.clear();
    client.handle_reply(None, PlacementReply::Grant(id(1), name("a"), None), &mut out);
    client.handle_reply(None, PlacementReply::Grant(id(1), name("b"), None), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("a"), None)]);
}

#[test]
fn grant_of_a_former_coordinator_is_ignored() {
    let mut client = CoordinatorClient::<()>::default();
    let mut out = Vec::new();
    set_coordinator(&mut client, at(0), Some(host("h2")), &mut out);
    client.submit(at(0), placement_request(1, 1.0), &mut out);
    set_coordinator(&mut client, at(10), None, &mut out);
    out.clear();
    client.handle_reply(Some(&host("h2")), PlacementReply::Grant(id(1), name("a"), None), &mut out);
    assert!(out.is_empty());
    client.handle_reply(None, PlacementReply::Grant(id(1), name("b"), None), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("b"), None)]);
}

#[test]
fn new_coordinator_gets_waiting_and_dispatched_requests() {
    let mut client = CoordinatorClient::<()>::default();
    let mut out = Vec::new();
    client.submit(at(0), placement_request(1, 1.0), &mut out);
    client.submit(at(0), placement_request(2, 1.0), &mut out);
    client.handle_reply(None, PlacementReply::Grant(id(1), name("a"), None), &mut out);
    out.clear();
    set_coordinator(&mut client, at(50), Some(host("h2")), &mut out);
    let describe = |update: &RequestUpdate| match update {
        RequestUpdate::Adopt(req, runner) => {
            Some(format!("adopt {} at {runner}", req.record.id.value()))
        }
        RequestUpdate::Submit(req) => {
            Some(format!("submit {} aged {} ms", req.record.id.value(), req.record.age.as_millis()))
        }
        _ => None,
    };
    let sent: Vec<_> = out
        .iter()
        .filter_map(|action| match action {
            ClientAction::Send(Some(to), update) if *to == host("h2") => describe(update),
            _ => None,
        })
        .collect();
    assert_eq!(sent, ["adopt 1 at a", "submit 2 aged 50 ms"]);
}

#[test]
fn grant_for_a_withdrawn_request_is_returned() {
    let mut client = CoordinatorClient::<()>::default();
    let mut out = Vec::new();
    client.submit(at(0), placement_request(1, 1.0), &mut out);
    client.withdraw(id(1), &mut out);
    out.clear();
    client.handle_reply(None, PlacementReply::Grant(id(1), name("a"), None), &mut out);
    assert_eq!(out, [ClientAction::Send(None, RequestUpdate::Withdraw(id(1)))]);
}

#[test]
fn requeued_request_can_be_dispatched_again() {
    let mut client = CoordinatorClient::<()>::default();
    let mut out = Vec::new();
    client.submit(at(0), placement_request(1, 1.0), &mut out);
    client.handle_reply(None, PlacementReply::Grant(id(1), name("a"), None), &mut out);
    client.requeue(id(1), RetryReason::TurnedAway, &mut out);
    out.clear();
    client.handle_reply(None, PlacementReply::Grant(id(1), name("b"), None), &mut out);
    assert_eq!(out, [ClientAction::Dispatch(id(1), name("b"), None)]);
}
