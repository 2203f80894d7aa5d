//! Requests that go on with a stream, at the version that began it.

use std::{sync::Arc, time::Duration};

use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, FleetConfig, PlacementReply,
        PlacementRequest, QuotaTolerance, RequestUpdate, RetryBudgetLimits, RunnerChange,
        RunnerEntry, RunnerVersion, StreamBinding, StreamId, StreamRecord,
    },
    ids::HostId,
    outcome::{NotRunReason, RetryReason},
};
use rstest::rstest;

use crate::support::{at, empty_config, entry, host, id, name, placement_request, resumable_route};

type Replies = Vec<(HostId, PlacementReply)>;

fn stream() -> StreamId {
    StreamId::new(&"desk".parse().unwrap(), "began")
}

fn request(number: u128, binding: StreamBinding) -> PlacementRequest {
    PlacementRequest { stream: Some(binding), ..placement_request(number, 0.0) }
}

fn take_up(number: u128) -> RequestUpdate {
    RequestUpdate::Submit(Box::new(request(number, StreamBinding::continues(stream(), None))))
}

fn runner(runner: &str, version: &str) -> RunnerChange {
    let version = RunnerVersion::new(version);
    RunnerChange::Usable(RunnerEntry { version, ..entry(runner, 1, false) })
}

/// A coordinator with a runner of each version: `a`, `b` and so on.
fn coordinator(versions: &[&str]) -> Coordinator {
    let retries = RetryBudgetLimits { ratio: 1.0, slack: 100.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
    coordinator.local_host_joined(at(0), host("h1"));
    let runners = versions.iter().zip(["a", "b", "c"]);
    let runners: Vec<_> = runners.map(|(version, name)| runner(name, version)).collect();
    coordinator.apply_runner_changes(at(0), &runners, &mut Replies::new());
    coordinator
}

fn update(coordinator: &mut Coordinator, ms: u64, update: RequestUpdate) -> Replies {
    let mut out = Replies::new();
    coordinator.handle_update(at(ms), &host("h1"), update, &mut out);
    out
}

fn learn(coordinator: &mut Coordinator, ms: u64, version: &str) -> Replies {
    let (upstream, version) = ("dala".parse().unwrap(), RunnerVersion::new(version));
    let (age, retention) = (Duration::ZERO, Duration::from_secs(30));
    let record = StreamRecord { id: stream(), upstream, version, age, retention };
    let mut out = Replies::new();
    coordinator.learn_streams(at(ms), [record], &mut out);
    out
}

fn grant(number: u128, runner: &str, version: &str) -> (HostId, PlacementReply) {
    let reply = PlacementReply::Grant(id(number), name(runner), RunnerVersion::new(version));
    (host("h1"), reply)
}

fn refused_as(replies: &Replies) -> Option<NotRunReason> {
    match replies[..] {
        [(_, PlacementReply::Refuse(_, reason, _))] => Some(reason),
        _ => None,
    }
}

#[test]
fn unknown_stream_waits_until_the_view_of_its_only_version_is_verified() {
    let mut coordinator = coordinator(&["v1"]);
    let mut out = Replies::new();
    coordinator.set_verified(at(90), at(80), &mut out);
    assert_eq!(update(&mut coordinator, 100, take_up(1)), []);
    coordinator.set_verified(at(300), at(99), &mut out);
    assert_eq!(out, []);
    coordinator.set_verified(at(400), at(100), &mut out);
    assert_eq!(out, [grant(1, "a", "v1")]);
}

#[test]
fn unknown_stream_is_refused_if_the_view_is_not_verified_in_time() {
    let mut coordinator = coordinator(&["v1"]);
    update(&mut coordinator, 100, take_up(1));
    let mut out = Replies::new();
    coordinator.tick(at(1_300), &mut out);
    assert_eq!(out, []);
    coordinator.tick(at(1_400), &mut out);
    assert_eq!(refused_as(&out), Some(NotRunReason::VersionUnknown));
}

#[test]
fn unknown_stream_waits_for_another_hosts_record_while_versions_differ() {
    let mut coordinator = coordinator(&["v1", "v2"]);
    update(&mut coordinator, 100, take_up(1));
    coordinator.set_verified(at(200), at(200), &mut Replies::new());
    assert_eq!(learn(&mut coordinator, 300, "v2"), [grant(1, "b", "v2")]);
    // The next one is known at once.
    assert_eq!(update(&mut coordinator, 310, take_up(2)), [grant(2, "b", "v2")]);
}

#[rstest]
#[case::no_version("", NotRunReason::VersionUnknown)]
#[case::no_runner_of_it("v3", NotRunReason::VersionGone)]
fn stream_that_no_runner_can_go_on_with_is_refused(
    #[case] version: &str,
    #[case] expected: NotRunReason,
) {
    let mut coordinator = coordinator(&["v1", "v2"]);
    learn(&mut coordinator, 0, version);
    assert_eq!(refused_as(&update(&mut coordinator, 10, take_up(1))), Some(expected));
}

#[test]
fn stream_that_goes_on_stays_at_its_version_when_it_is_requeued() {
    let mut coordinator = coordinator(&["v1", "v2", "v1"]);
    learn(&mut coordinator, 0, "v1");
    assert_eq!(update(&mut coordinator, 10, take_up(1)), [grant(1, "a", "v1")]);
    let requeue = RequestUpdate::Requeue(id(1), RetryReason::RunnerLeaving);
    assert_eq!(update(&mut coordinator, 20, requeue), [grant(1, "c", "v1")]);
}

#[test]
fn adopted_stream_stays_at_its_version_when_it_is_requeued() {
    let mut coordinator = coordinator(&["v1", "v2", "v1"]);
    let binding = StreamBinding::continues(stream(), RunnerVersion::new("v1"));
    let adopt = RequestUpdate::Adopt(Box::new(request(1, binding)), name("a"));
    assert_eq!(update(&mut coordinator, 10, adopt), []);
    let requeue = RequestUpdate::Requeue(id(1), RetryReason::RunnerLeaving);
    assert_eq!(update(&mut coordinator, 20, requeue), [grant(1, "c", "v1")]);
}

#[test]
fn stream_is_recorded_at_the_version_that_brought_its_first_event() {
    let mut coordinator = coordinator(&["v1", "v2"]);
    let begin = RequestUpdate::Submit(Box::new(request(1, StreamBinding::begins(stream()))));
    assert_eq!(update(&mut coordinator, 10, begin), [grant(1, "a", "v1")]);
    let requeue = RequestUpdate::Requeue(id(1), RetryReason::RunnerLeaving);
    assert_eq!(update(&mut coordinator, 20, requeue), [grant(1, "b", "v2")]);
    update(&mut coordinator, 30, RequestUpdate::FirstToken(id(1)));
    assert_eq!(update(&mut coordinator, 40, take_up(2)), [grant(2, "b", "v2")]);
}

#[rstest]
#[case::without_version(None, "v1", true)]
#[case::of_another_version(Some("v1"), "v2", true)]
#[case::without_version_for_a_new_stream(None, "", false)]
fn grants_of_coordinators_that_ignore_streams_are_refused(
    #[case] required: Option<&str>,
    #[case] granted: &str,
    #[case] goes_on: bool,
) {
    let mut client = CoordinatorClient::<()>::default();
    let binding = match goes_on {
        true => StreamBinding::continues(stream(), required.and_then(RunnerVersion::new)),
        false => StreamBinding::begins(stream()),
    };
    client.submit(at(0), request(1, binding), &mut Vec::new());
    let mut out = Vec::new();
    let version = RunnerVersion::new(granted).filter(|_| required.is_some());
    client.handle_reply(None, PlacementReply::Grant(id(1), name("a"), version), &mut out);
    let is_refused = out.iter().any(|action| matches!(action, ClientAction::Refuse(..)));
    let is_dispatched = out.iter().any(|action| matches!(action, ClientAction::Dispatch(..)));
    assert_eq!((is_refused, is_dispatched), (goes_on, !goes_on));
}

fn config(time_limit: Option<u64>) -> Arc<FleetConfig> {
    let routes = time_limit.map(|limit| resumable_route(Duration::from_secs(limit)));
    Arc::new(routes.into_iter().fold(empty_config(), FleetConfig::with_route))
}

fn begin(number: u128, retention: u64) -> RequestUpdate {
    let binding = StreamBinding::begins(stream());
    let binding = binding.with_retention(Duration::from_secs(retention));
    RequestUpdate::Submit(Box::new(request(number, binding)))
}

fn remove(coordinator: &mut Coordinator, ms: u64, name: &str, version: &str) {
    let removed = RunnerChange::Removed(runner(name, version).entry().clone());
    coordinator.apply_runner_changes(at(ms), &[removed], &mut Replies::new());
}

/// Takes the stream up with a verified view. Returns the reason of a refusal, after the
/// longest wait for another host's record.
fn take_up_verified(coordinator: &mut Coordinator, ms: u64) -> Option<NotRunReason> {
    coordinator.expire_versions(at(ms));
    let mut out = update(coordinator, ms, take_up(9));
    coordinator.set_verified(at(ms + 1), at(ms), &mut out);
    coordinator.tick(at(ms + 600), &mut out);
    refused_as(&out)
}

/// The limit falls from 15 s to 2 s, or its route goes away. Four seconds later the stream's
/// record and its version were forgotten.
#[rstest]
#[case::known_here(true, Some(2), 29_900, Some(NotRunReason::VersionGone))]
#[case::known_elsewhere(false, Some(2), 29_900, Some(NotRunReason::VersionUnknown))]
#[case::without_its_route(false, None, 29_900, Some(NotRunReason::VersionUnknown))]
#[case::after_the_former_limit(false, Some(2), 34_100, None)]
fn a_shorter_time_limit_does_not_apply_to_streams_that_have_begun(
    #[case] is_known: bool,
    #[case] time_limit: Option<u64>,
    #[case] taken_up_ms: u64,
    #[case] expected: Option<NotRunReason>,
) {
    let mut coordinator = coordinator(&["v1", "v2"]);
    coordinator.set_config(at(0), config(Some(15)));
    if is_known {
        update(&mut coordinator, 0, begin(1, 30));
        update(&mut coordinator, 0, RequestUpdate::FirstToken(id(1)));
    }
    coordinator.set_config(at(4_000), config(time_limit));
    remove(&mut coordinator, 5_000, "a", "v1");
    assert_eq!(take_up_verified(&mut coordinator, taken_up_ms), expected);
}

/// A caller waits for 15 s at a route of 2 s. Another host began the stream; this one knows
/// the wait from its own requests or from the store's record.
#[rstest]
#[case::from_a_request(true)]
#[case::from_the_record(false)]
fn versions_are_remembered_for_as_long_as_callers_wait(#[case] from_request: bool) {
    let mut coordinator = coordinator(&["v1", "v2"]);
    coordinator.set_config(at(0), config(Some(2)));
    match from_request {
        true => drop(update(&mut coordinator, 1_000, begin(1, 30))),
        false => coordinator.set_recorded_retention(at(1_000), Duration::from_secs(30)),
    }
    remove(&mut coordinator, 2_000, "a", "v1");
    let refused = take_up_verified(&mut coordinator, 25_000);
    assert_eq!(refused, Some(NotRunReason::VersionUnknown));
}

/// The record of a host that saw longer limits is kept until it has expired.
#[test]
fn recorded_retention_is_lowered_after_it_has_expired() {
    let mut coordinator = coordinator(&["v1"]);
    coordinator.set_recorded_retention(at(0), Duration::from_secs(30));
    coordinator.set_config(at(0), config(Some(2)));
    assert_eq!(coordinator.retention_to_record(at(30_000)), Duration::from_secs(30));
    assert_eq!(coordinator.retention_to_record(at(30_001)), Duration::from_secs(4));
}

/// The limit falls long after the record was written. A host that starts then knows the former
/// limit from the record alone.
#[test]
fn recorded_retention_outlives_the_streams_of_a_former_limit() {
    let mut coordinator = coordinator(&["v1"]);
    coordinator.set_config(at(0), config(Some(15)));
    coordinator.set_recorded_retention(at(0), Duration::from_secs(30));
    coordinator.set_config(at(100_000), config(Some(2)));
    assert_eq!(coordinator.retention_to_record(at(125_999)), Duration::from_secs(30));
    assert_eq!(coordinator.retention_to_record(at(126_000)), Duration::from_secs(4));
}
