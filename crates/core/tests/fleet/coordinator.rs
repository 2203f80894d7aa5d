//! One coordinator with several client hosts.

use std::{sync::Arc, time::Duration};

use comfreyway_core::{
    fleet::{
        CallerLimits, Coordinator, FleetConfig, PlacementReply, Quota, QuotaTolerance,
        RequestUpdate, RetryBudgetLimits, RunnerChange, RunnerEntry, UpstreamConfig, Workspace,
    },
    ids::HostId,
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
};

use rstest::rstest;

use crate::support::{at, entry, host, id, name, placement_request};

const RETRIES: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 5.0, window_s: 10.0 };

fn config(rate_per_s: f64) -> Arc<FleetConfig> {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let upstream = UpstreamConfig {
        engine: true,
        max_connections: 10,
        tokens_per_event: 3,
        prompt_memory: None,
    };
    let quota = Quota { rate_per_s, burst: 1_000.0, by_tokens: true, plain_cost: 1.0 };
    let workspace = Workspace { name: "desk".parse().unwrap(), tier: None, quota };
    let config = FleetConfig::new(1, 1, limits).with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(config.with_workspace(workspace, ["key".to_owned()]))
}

fn coordinator() -> Coordinator {
    let mut coordinator = Coordinator::new(RETRIES, QuotaTolerance::default());
    coordinator.set_config(at(0), config(0.0));
    coordinator.local_host_joined(at(0), host("h1"));
    coordinator.apply_runner_changes(
        at(0),
        &[RunnerChange::Usable(entry("a", 1, false))],
        &mut Vec::new(),
    );
    coordinator
}

fn handle_update(
    coordinator: &mut Coordinator,
    ms: u64,
    update: RequestUpdate,
) -> Vec<(HostId, PlacementReply)> {
    let mut out = Vec::new();
    coordinator.handle_update(at(ms), &host("h1"), update, &mut out);
    out
}

fn submit(coordinator: &mut Coordinator, number: u128, cost: f64) -> Vec<(HostId, PlacementReply)> {
    handle_update(coordinator, 0, RequestUpdate::Submit(Box::new(placement_request(number, cost))))
}

#[test]
fn coordinator_uses_runner_slots_in_proportion_to_its_client_hosts() {
    let mut coordinator = coordinator();
    coordinator.set_registered_hosts(at(0), &["h1", "h2", "h3", "h4"].map(|name| host(name).name));
    assert_eq!(submit_all(&mut coordinator, 0..5), 1);
    for name in ["h2", "h3", "h4"] {
        coordinator.host_joined(at(0), host(name));
    }
    let mut out = Vec::new();
    coordinator.tick(at(1), &mut out);
    // The other requests may have been refused for the backlog of the one slot.
    let granted = 1 + count_grants(&out) + submit_all(&mut coordinator, 10..20);
    assert_eq!(granted, 4, "all four slots serve all four hosts");
}

fn count_grants(replies: &[(HostId, PlacementReply)]) -> usize {
    replies.iter().filter(|(_, reply)| matches!(reply, PlacementReply::Grant(..))).count()
}

/// Submits one request for each number and returns how many were granted.
fn submit_all(coordinator: &mut Coordinator, numbers: std::ops::Range<u128>) -> usize {
    numbers.map(|number| count_grants(&submit(coordinator, number, 1.0))).sum()
}

#[test]
fn request_over_quota_is_refused_without_being_charged() {
    let mut coordinator = coordinator();
    coordinator.set_config(at(0), config(1.0));
    assert!(matches!(submit(&mut coordinator, 1, 900.0)[..], [(_, PlacementReply::Grant(..))]));
    let refused = submit(&mut coordinator, 2, 900.0);
    let over = NotRunReason::OverQuota;
    assert!(matches!(refused[..], [(_, PlacementReply::Refuse(_, reason, _))] if reason == over));
    assert!(matches!(submit(&mut coordinator, 3, 90.0)[..], [(_, PlacementReply::Grant(..))]));
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut coordinator = coordinator();
    submit(&mut coordinator, 1, 1.0);
    let mut refusals = 0;
    for round in 0..20 {
        let ms = 200 * (round + 1);
        let replies = handle_update(
            &mut coordinator,
            ms,
            RequestUpdate::Requeue(id(1), RetryReason::TurnedAway),
        );
        refusals += replies.iter().filter(|(_, t)| matches!(t, PlacementReply::Refuse(..))).count();
        coordinator.tick(at(ms + 150), &mut Vec::new());
    }
    assert_eq!(refusals, 1, "the request is refused once");
}

/// The host uses its own coordinator, and the other host's one knows it only from the
/// last report of their former coordinator.
#[test]
fn retries_of_a_host_without_store_entry_stay_within_the_budget_of_all() {
    let limits = RetryBudgetLimits { ratio: 0.0, slack: 50.0, window_s: 10.0 };
    let coordinator_of = |me: &str, registered: &[&str]| {
        let memory = Duration::from_secs(20);
        let mut coordinator =
            Coordinator::new(limits, QuotaTolerance::default()).with_host_memory(memory);
        let names: Vec<_> = registered.iter().map(|name| host(name).name).collect();
        coordinator.set_registered_hosts(at(0), &names);
        coordinator.set_reported_hosts(at(0), 2);
        coordinator.local_host_joined(at(0), host(me));
        let runner = RunnerEntry { slots: 1_000, ..entry("a", 1, false) };
        coordinator.apply_runner_changes(at(0), &[RunnerChange::Usable(runner)], &mut Vec::new());
        coordinator
    };
    let mut coordinators = [coordinator_of("h1", &["h1"]), coordinator_of("h2", &["h1", "h2"])];
    let mut retries = 0;
    for ms in (0..10_000).step_by(100) {
        for number in 0..10 {
            let mut retry = placement_request(u128::from(ms + number), 1.0);
            retry.prior_attempts = 1;
            let update = RequestUpdate::Submit(Box::new(retry));
            let sent = coordinators
                .iter_mut()
                .map(|coordinator| count_grants(&handle_update(coordinator, ms, update.clone())));
            retries += sent.sum::<usize>();
        }
    }
    assert!(retries as f64 <= limits.slack, "{retries} of {}", limits.slack);
}

#[test]
fn slots_of_a_host_that_is_down_are_granted_to_other_hosts() {
    let mut coordinator = coordinator();
    coordinator.host_joined(at(0), host("h2"));
    for number in 0..4 {
        submit(&mut coordinator, number, 1.0);
    }
    let mut out = Vec::new();
    let mut other = placement_request(9, 1.0);
    other.record.entry = host("h2");
    coordinator.handle_update(at(1), &host("h2"), RequestUpdate::Submit(Box::new(other)), &mut out);
    assert!(out.is_empty());
    coordinator.host_left(at(2), &host("h1"), &mut out);
    assert!(
        matches!(&out[..], [(to, PlacementReply::Grant(granted, ..))] if *to == host("h2") && *granted == id(9))
    );
}

#[test]
fn submission_with_an_id_already_open_gets_no_reply() {
    // Two hosts must not use the same ID, so IDs contain a number that each process
    // draws at random.
    let mut coordinator = coordinator();
    submit(&mut coordinator, 1, 1.0);
    assert!(submit(&mut coordinator, 1, 1.0).is_empty());
    handle_update(&mut coordinator, 1, RequestUpdate::Ended(id(1), DispatchEnd::Cancelled));
    assert_eq!(submit(&mut coordinator, 1, 1.0).len(), 1);
}

/// Two runners with four slots each, no retries, and requests 1 to 9, of which
/// the last one waits.
fn full_coordinator() -> Coordinator {
    let limits = RetryBudgetLimits { ratio: 0.0, slack: 0.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(limits, QuotaTolerance::default());
    coordinator.set_config(at(0), config(0.0));
    coordinator.local_host_joined(at(0), host("h1"));
    let runners = ["a", "b"].map(|name| RunnerChange::Usable(entry(name, 1, false)));
    coordinator.apply_runner_changes(at(0), &runners, &mut Vec::new());
    for number in 1..=9 {
        submit(&mut coordinator, number, 1.0);
    }
    coordinator
}

#[rstest]
#[case::runner_paused(RetryReason::TurnedAway)]
#[case::connection_refused(RetryReason::ConnectRefused)]
fn every_granted_request_gets_a_reply_when_others_are_turned_away(#[case] first: RetryReason) {
    let mut coordinator = full_coordinator();
    let mut replies = handle_update(&mut coordinator, 1, RequestUpdate::Requeue(id(2), first));
    for (ms, number) in [(125, 1), (260, 3)] {
        let update = RequestUpdate::Requeue(id(number), RetryReason::TurnedAway);
        replies.extend(handle_update(&mut coordinator, ms, update));
    }
    for ms in (300..3_000).step_by(20) {
        coordinator.tick(at(ms), &mut replies);
    }
    let replies_to = |number| {
        let is_reply = |reply: &PlacementReply| match reply {
            PlacementReply::Grant(of, ..) | PlacementReply::Refuse(of, ..) => *of == id(number),
        };
        replies.iter().filter(|(_, reply)| is_reply(reply)).count()
    };
    assert_eq!(replies_to(1), 1, "refused once");
    assert_eq!(replies_to(9), 1, "granted or refused once");
    assert_eq!(coordinator.waiting(), 0);
}

#[test]
fn adopted_request_that_its_runner_turns_away_is_placed_again() {
    let mut coordinator = coordinator();
    let adopted = RequestUpdate::Adopt(Box::new(placement_request(1, 1.0)), name("a"));
    handle_update(&mut coordinator, 0, adopted);
    let update = RequestUpdate::Requeue(id(1), RetryReason::TurnedAway);
    let mut replies = handle_update(&mut coordinator, 10, update);
    for ms in (20..400).step_by(20) {
        coordinator.tick(at(ms), &mut replies);
    }
    assert!(matches!(&replies[..], [(_, PlacementReply::Grant(..))]), "{replies:?}");
}

#[test]
fn withdrawn_retry_refunds_no_quota() {
    let tolerance = QuotaTolerance { window_s: 8.0, ..QuotaTolerance::default() };
    let mut coordinator = Coordinator::new(RETRIES, tolerance);
    coordinator.set_config(at(0), config(1.0));
    coordinator.local_host_joined(at(0), host("h1"));
    let runner = RunnerChange::Usable(entry("a", 1, false));
    coordinator.apply_runner_changes(at(0), &[runner], &mut Vec::new());
    assert_eq!(
        (10..14).map(|n| count_grants(&submit(&mut coordinator, n, 250.0))).sum::<usize>(),
        4
    );
    let mut retry = placement_request(2, 1_000.0);
    retry.prior_attempts = 1;
    handle_update(&mut coordinator, 1, RequestUpdate::Submit(Box::new(retry)));
    handle_update(&mut coordinator, 2, RequestUpdate::Withdraw(id(2)));
    let request = Box::new(placement_request(3, 1_000.0));
    let replies = handle_update(&mut coordinator, 3, RequestUpdate::Submit(request));
    let over_quota = NotRunReason::OverQuota;
    assert!(
        matches!(&replies[..], [(_, PlacementReply::Refuse(_, reason, _))] if *reason == over_quota),
        "the first four used the whole quota: {replies:?}"
    );
}

/// A new coordinator may be sent a request before it has read the runners of its upstream. One
/// that another coordinator had before was dropped without an answer.
#[rstest]
fn a_request_waits_for_runners_that_its_coordinator_does_not_know_yet(
    #[values(false, true)] resubmitted: bool,
) {
    let mut coordinator = Coordinator::new(RETRIES, QuotaTolerance::default());
    coordinator.local_host_joined(at(0), host("h1"));
    let mut req = placement_request(1, 1.0);
    req.resubmitted = resubmitted;
    let replies = handle_update(&mut coordinator, 0, RequestUpdate::Submit(Box::new(req)));
    assert_eq!((replies, coordinator.waiting()), (Vec::new(), 1));
    let (usable, mut out) = (RunnerChange::Usable(entry("a", 1, false)), Vec::new());
    coordinator.apply_runner_changes(at(10), &[usable], &mut out);
    assert_eq!(out, [(host("h1"), PlacementReply::Grant(id(1), name("a"), None))]);
}
