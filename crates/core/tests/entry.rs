//! One entry, and its exchange of events with pool owners.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_core::{
    entry::{Entry, EntryAction, EntryInput, OwnerView},
    ids::{Epoch, HostId, PoolId, RequestId, Tier},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    owner::{EntryEvent, IdempotencyKey, Identity, OwnerEvent, Submission},
    request::{Grant, RequestRecord, Target},
    time::MonoTime,
};
use rstest::rstest;

const TARGET_MS: u64 = 5_000;
const GRANT_LIFETIME_MS: u64 = 1_000;

struct Fixture {
    entry: Entry,
    out: Vec<EntryAction>,
}

fn host(name: &str) -> HostId {
    HostId { name: name.parse().unwrap(), incarnation: 1 }
}

fn pool() -> PoolId {
    PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() }
}

fn epoch(issued: u64) -> Epoch {
    Epoch { issued, provisional: 0 }
}

fn ms(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn id() -> RequestId {
    RequestId::new(1)
}

fn submission(at_most_once: bool) -> Submission {
    let workspace: comfreyway_core::ids::WorkspaceName = "ayaq".parse().unwrap();
    let key = IdempotencyKey { workspace: workspace.clone(), key: "k".to_owned() };
    let identity = Identity { key, digest: [0; 32], idempotent: false };
    let record = RequestRecord {
        id: id(),
        entry: host("e"),
        workspace,
        class: "c".parse().unwrap(),
        tier: Tier(0),
        target: Target::Whole(Duration::from_millis(TARGET_MS)),
        age: Duration::ZERO,
        prefill_tokens: 0,
        max_decode_tokens: None,
        prefix: Vec::new(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 0,
    };
    Submission { record, identity: at_most_once.then_some(identity) }
}

impl Fixture {
    fn new() -> Self {
        Self { entry: Entry::new(host("e")), out: Vec::new() }
    }

    /// Creates an entry with one request that has waited for owner `x` since time
    /// zero.
    fn with_waiting_request() -> Self {
        let mut fixture = Self::new();
        fixture.set_owner(0, "x", 1);
        fixture.receive(false);
        fixture
    }

    fn input(&mut self, at_ms: u64, input: EntryInput) -> Vec<EntryAction> {
        self.entry.handle(ms(at_ms), input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn set_owner(&mut self, at_ms: u64, owner: &str, issued: u64) -> Vec<EntryAction> {
        let view = OwnerView { owner: Some(host(owner)), epoch: epoch(issued) };
        self.input(at_ms, EntryInput::OwnerChanged { pool: pool(), view })
    }

    fn receive(&mut self, at_most_once: bool) -> Vec<EntryAction> {
        let submission = submission(at_most_once);
        self.input(0, EntryInput::Received { submission, pool: pool() })
    }

    fn grant(&mut self, at_ms: u64, issued: u64, entry_sent_ms: u64) -> Vec<EntryAction> {
        let grant = Grant {
            id: id(),
            runner: "r".parse().unwrap(),
            epoch: epoch(issued),
            valid_for: Duration::from_millis(GRANT_LIFETIME_MS),
        };
        let event = OwnerEvent::Granted { grant, entry_sent_at: ms(entry_sent_ms) };
        let (owner, epoch) = (host("x"), epoch(issued));
        self.input(at_ms, EntryInput::OwnerEvent { owner, pool: pool(), epoch, event })
    }
}

fn dispatches(actions: &[EntryAction]) -> usize {
    actions.iter().filter(|a| matches!(a, EntryAction::Dispatch { .. })).count()
}

fn events_to_owner(actions: &[EntryAction]) -> Vec<&EntryEvent> {
    let events = actions.iter().filter_map(|action| match action {
        EntryAction::SendToOwner { event, .. } => Some(event),
        _ => None,
    });
    events.collect()
}

#[rstest]
#[case::at_once(0, 0, 1)]
#[case::just_valid(1_000, 0, 1)]
#[case::delayed(1_001, 0, 0)]
#[case::refreshed(1_500, 900, 1)]
#[case::from_a_paused_owner(4_000, 300, 0)]
fn grant_lifetime_counts_from_the_entrys_event(
    #[case] at_ms: u64,
    #[case] entry_sent_ms: u64,
    #[case] expected: usize,
) {
    let mut fixture = Fixture::with_waiting_request();
    let actions = fixture.grant(at_ms, 1, entry_sent_ms);
    assert_eq!(dispatches(&actions), expected);
    let reason = RetryReason::GrantExpired;
    let unused = EntryEvent::GrantUnused { id: id(), reason };
    assert_eq!(events_to_owner(&actions).contains(&&unused), expected == 0);
}

#[test]
fn a_grant_of_an_earlier_epoch_is_dropped() {
    let mut fixture = Fixture::with_waiting_request();
    fixture.set_owner(10, "y", 2);
    assert_eq!(fixture.grant(20, 1, 0), []);
}

#[test]
fn duplicate_grant_dispatches_once() {
    let mut fixture = Fixture::with_waiting_request();
    assert_eq!(dispatches(&fixture.grant(10, 1, 0)), 1);
    assert_eq!(dispatches(&fixture.grant(11, 1, 0)), 0);
}

#[rstest]
#[case::without_idempotency_key(false)]
#[case::at_most_once(true)]
fn request_without_an_owner_waits_until_its_target(#[case] at_most_once: bool) {
    let mut fixture = Fixture::new();
    let early = fixture.receive(at_most_once);
    assert!(early.iter().all(|action| matches!(action, EntryAction::SetTimer(_))), "{early:?}");
    assert_eq!(fixture.input(TARGET_MS - 1, EntryInput::Tick).len(), 1, "only a timer");
    let late = fixture.input(TARGET_MS + 400, EntryInput::Tick);
    let response = late.iter().find(|action| !matches!(action, EntryAction::SetTimer(_))).unwrap();
    match (at_most_once, response) {
        (true, EntryAction::RespondUnknown { reason, .. }) => {
            assert_eq!(*reason, UnknownReason::Unchecked);
        }
        (false, EntryAction::RespondNotRun { reason, .. }) => {
            assert_eq!(*reason, NotRunReason::NoOwner);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn new_owner_gets_waiting_requests_and_those_in_progress() {
    let mut fixture = Fixture::with_waiting_request();
    let actions = fixture.set_owner(10, "y", 2);
    assert!(matches!(events_to_owner(&actions)[..], [EntryEvent::Submit(_)]), "{actions:?}");
    let mut fixture = Fixture::with_waiting_request();
    fixture.grant(5, 1, 0);
    let actions = fixture.set_owner(10, "y", 2);
    assert!(matches!(events_to_owner(&actions)[..], [EntryEvent::Adopt { .. }]), "{actions:?}");
}

#[test]
fn a_request_ends_after_three_refused_connections() {
    let mut fixture = Fixture::with_waiting_request();
    for attempt in 1..=3 {
        assert_eq!(dispatches(&fixture.grant(attempt, 1, 0)), 1);
        let reason = RetryReason::ConnectRefused;
        let actions = fixture.input(attempt, EntryInput::NotSent { id: id(), reason });
        let ended = actions.iter().any(|a| matches!(a, EntryAction::RespondNotRun { .. }));
        assert_eq!(ended, attempt == 3, "{actions:?}");
    }
}

#[test]
fn stopping_entry_refuses_new_requests_and_keeps_waiting_ones() {
    let mut fixture = Fixture::with_waiting_request();
    fixture.input(1, EntryInput::Stop);
    let mut later = submission(false);
    later.record.id = RequestId::new(2);
    let actions = fixture.input(2, EntryInput::Received { submission: later, pool: pool() });
    let stopping = |a: &EntryAction| {
        matches!(a, EntryAction::RespondNotRun { reason: NotRunReason::Stopping, .. })
    };
    assert!(actions.iter().any(stopping), "{actions:?}");
    assert_eq!(dispatches(&fixture.grant(3, 1, 0)), 1);
}
