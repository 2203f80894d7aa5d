//! One coordinator before several hosts.

use std::{sync::Arc, time::Duration};

use comfreyway_core::{
    fleet::{
        CallerLimits, Coordinator, FleetConfig, PlacementReply, Quota, QuotaTolerance,
        RequestUpdate, RetryBudgetLimits, RunnerChange, UpstreamConfig, Workspace,
    },
    ids::HostId,
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
};

use crate::support::{at, entry, host, id, question};

const RETRIES: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 5.0, window_s: 10.0 };

fn plan(rate_per_s: f64) -> Arc<FleetConfig> {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let upstream = UpstreamConfig { engine: true, max_connections: 10, tokens_per_event: 3 };
    let quota = Quota { rate_per_s, burst: 1_000.0, by_tokens: true, plain_cost: 1.0 };
    let workspace = Workspace { name: "desk".parse().unwrap(), tier: None, quota };
    let plan = FleetConfig::new(1, 1, limits).with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(plan.with_workspace(workspace, ["key".to_owned()]))
}

fn coordinator() -> Coordinator {
    let mut coordinator = Coordinator::new(RETRIES, QuotaTolerance::default());
    coordinator.set_config(plan(0.0));
    coordinator.local_host_joined(at(0), host("h1"));
    coordinator.apply_runner_changes(
        at(0),
        &[RunnerChange::Usable(entry("a", 1, false))],
        &mut Vec::new(),
    );
    coordinator
}

fn ask(
    coordinator: &mut Coordinator,
    ms: u64,
    ask: RequestUpdate,
) -> Vec<(HostId, PlacementReply)> {
    let mut out = Vec::new();
    coordinator.handle_update(at(ms), &host("h1"), ask, &mut out);
    out
}

fn place(coordinator: &mut Coordinator, number: u128, cost: f64) -> Vec<(HostId, PlacementReply)> {
    ask(coordinator, 0, RequestUpdate::Submit(Box::new(question(number, cost))))
}

#[test]
fn a_host_alone_of_four_uses_its_share_of_a_runner() {
    let mut coordinator = coordinator();
    coordinator.set_known_hosts(at(0), 4);
    assert_eq!(grants(&mut coordinator, 0..5), 1);
    for name in ["h2", "h3", "h4"] {
        coordinator.host_joined(at(0), host(name));
    }
    let mut out = Vec::new();
    coordinator.tick(at(1), &mut out);
    // The others may have been refused for the backlog of the one place.
    let sum = 1 + count(&out) + grants(&mut coordinator, 10..20);
    assert_eq!(sum, 4, "all four places serve all four hosts");
}

fn count(told: &[(HostId, PlacementReply)]) -> usize {
    told.iter().filter(|(_, tell)| matches!(tell, PlacementReply::Grant(..))).count()
}

fn grants(coordinator: &mut Coordinator, numbers: std::ops::Range<u128>) -> usize {
    numbers.map(|number| count(&place(coordinator, number, 1.0))).sum()
}

#[test]
fn beyond_its_quota_a_workspace_is_refused_and_what_was_refused_is_not_counted() {
    let mut coordinator = coordinator();
    coordinator.set_config(plan(1.0));
    assert!(matches!(place(&mut coordinator, 1, 900.0)[..], [(_, PlacementReply::Grant(..))]));
    let refused = place(&mut coordinator, 2, 900.0);
    let over = NotRunReason::OverQuota;
    assert!(matches!(refused[..], [(_, PlacementReply::Refuse(_, reason, _))] if reason == over));
    assert!(matches!(place(&mut coordinator, 3, 90.0)[..], [(_, PlacementReply::Grant(..))]));
}

#[test]
fn repeats_stop_when_the_budget_is_spent() {
    let mut coordinator = coordinator();
    place(&mut coordinator, 1, 1.0);
    let mut turned_away = 0;
    for round in 0..20 {
        let ms = 200 * (round + 1);
        let told =
            ask(&mut coordinator, ms, RequestUpdate::Requeue(id(1), RetryReason::TurnedAway));
        turned_away += told.iter().filter(|(_, t)| matches!(t, PlacementReply::Refuse(..))).count();
        coordinator.tick(at(ms + 150), &mut Vec::new());
    }
    assert_eq!(turned_away, 1, "the request is refused once");
}

#[test]
fn the_places_of_a_host_that_is_lost_serve_the_others() {
    let mut coordinator = coordinator();
    coordinator.host_joined(at(0), host("h2"));
    for number in 0..4 {
        place(&mut coordinator, number, 1.0);
    }
    let mut out = Vec::new();
    let mut other = question(9, 1.0);
    other.record.entry = host("h2");
    coordinator.handle_update(at(1), &host("h2"), RequestUpdate::Submit(Box::new(other)), &mut out);
    assert!(out.is_empty());
    coordinator.host_left(at(2), &host("h1"), &mut out);
    assert!(
        matches!(&out[..], [(to, PlacementReply::Grant(granted, _))] if *to == host("h2") && *granted == id(9))
    );
}

#[test]
fn a_request_that_two_hosts_name_alike_would_be_lost() {
    // Identities hold a number that each process draws; this shows why.
    let mut coordinator = coordinator();
    place(&mut coordinator, 1, 1.0);
    assert!(place(&mut coordinator, 1, 1.0).is_empty());
    ask(&mut coordinator, 1, RequestUpdate::Ended(id(1), DispatchEnd::Cancelled));
    assert_eq!(place(&mut coordinator, 1, 1.0).len(), 1);
}
