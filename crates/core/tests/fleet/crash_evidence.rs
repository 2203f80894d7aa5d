//! What shows that a run has ended, and what only shows that a host can't reach it.

use comfreyway_core::{
    fleet::{
        Coordinator, PlacementReply, PlacementRequest, PromptPart, QuotaTolerance, RequestUpdate,
        RetryBudgetLimits, RunnerChange, RunnerEntry, Suspect, SuspectState,
    },
    ids::HostId,
    outcome::RetryReason,
    request::DispatchEnd,
};
use rstest::rstest;

use crate::support::{at, entry, host, id, name, placement_request};

const RUNNERS: u16 = 5;

/// Time between two requests, shorter than the pause of a runner that failed.
const STEP_MS: u64 = 60;

const PART: PromptPart = PromptPart(0xbad);

/// A request that is only ever refused a connection.
const REFUSED: u128 = 100;

/// A request that keeps a spare runner busy.
const IN_PROGRESS: u128 = 101;

fn runner(number: u16) -> RunnerEntry {
    let address = ([127, 0, 0, 1], number).into();
    RunnerEntry { address, ..entry(&format!("r{number}"), 1, false) }
}

/// A coordinator whose only host has one response broken by each runner, and is then
/// refused a connection there. Also returns the time.
fn coordinator_of_a_cut_off_host() -> (Coordinator, u64) {
    let retries = RetryBudgetLimits { ratio: 1.0, slack: 100.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
    coordinator.local_host_joined(at(1_000), host("h1"));
    let mut now_ms = 1_000;
    let update = |coordinator: &mut Coordinator, ms, update| {
        let mut out = Vec::new();
        coordinator.handle_update(at(ms), &host("h1"), update, &mut out);
        out
    };
    let submit = |req: PlacementRequest| RequestUpdate::Submit(Box::new(req));
    // The last runner of an upstream is not risked for a trial.
    let spare = RunnerEntry { slots: 1, ..entry("spare", 1, false) };
    apply(&mut coordinator, now_ms, RunnerChange::Usable(spare));
    let in_progress = Box::new(placement_request(IN_PROGRESS, 0.0));
    update(&mut coordinator, now_ms, RequestUpdate::Adopt(in_progress, name("spare")));
    update(&mut coordinator, now_ms, submit(placement_request(REFUSED, 0.0)));
    for number in 1..=RUNNERS {
        now_ms += STEP_MS;
        let mut granted = apply(&mut coordinator, now_ms, RunnerChange::Usable(runner(number)));
        let req =
            PlacementRequest { parts: vec![PART], ..placement_request(u128::from(number), 0.0) };
        granted.extend(update(&mut coordinator, now_ms, submit(req)));
        let to = name(&format!("r{number}"));
        for request in [REFUSED, u128::from(number)] {
            let grant = (host("h1"), PlacementReply::Grant(id(request), to.clone(), None));
            assert!(granted.contains(&grant), "{request} is not granted: {granted:?}");
        }
        let broken = RequestUpdate::Ended(id(u128::from(number)), DispatchEnd::Failed);
        update(&mut coordinator, now_ms + 10, broken);
        let refused = RequestUpdate::Requeue(id(REFUSED), RetryReason::ConnectRefused);
        update(&mut coordinator, now_ms + 20, refused);
    }
    (coordinator, now_ms + 20)
}

fn apply(
    coordinator: &mut Coordinator,
    ms: u64,
    change: RunnerChange,
) -> Vec<(HostId, PlacementReply)> {
    let mut out = Vec::new();
    coordinator.apply_runner_changes(at(ms), &[change], &mut out);
    out
}

#[test]
fn connections_refused_to_a_cut_off_host_are_no_crashes() {
    let (coordinator, _) = coordinator_of_a_cut_off_host();
    assert_eq!(coordinator.quarantine().state(Suspect::Part(PART)), SuspectState::Stopped);
}

#[rstest]
#[case::entry_removed(|number| RunnerChange::Removed(runner(number)))]
#[case::address_taken(|number| {
    let successor = runner(number + RUNNERS);
    RunnerChange::Usable(RunnerEntry { address: runner(number).address, ..successor })
})]
fn runs_that_the_store_shows_to_have_ended_are_crashes(#[case] ended: fn(u16) -> RunnerChange) {
    let (mut coordinator, now_ms) = coordinator_of_a_cut_off_host();
    for number in 1..=RUNNERS {
        apply(&mut coordinator, now_ms + 3_000, ended(number));
    }
    assert_eq!(coordinator.quarantine().state(Suspect::Part(PART)), SuspectState::Quarantined);
}
