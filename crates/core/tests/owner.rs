//! Responses of a pool owner to repeated requests, and the standby's copy of its
//! claims.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_core::{
    ids::{Epoch, HostId, PoolId, RequestId, Tier, WorkspaceName},
    outcome::{NotRunReason, UnknownReason},
    owner::{
        CLAIM_RETENTION, Claim, ClaimCoverage, ClaimState, ClaimTable, CommitCondition, EntryEvent,
        IdempotencyKey, Identity, Owner, OwnerAction, OwnerEvent, OwnerInput, RepeatResponse,
        Standby, StandbyEvent, StandbyReply, Submission,
    },
    pool::{Pool, PoolInput, PoolSettings, RunnerSpec},
    request::{DispatchEnd, RequestRecord, Target},
    time::MonoTime,
};
use rstest::rstest;

const START: MonoTime = MonoTime::ZERO;
const LATE_MS: u64 = 1_500;

/// Response of the owner to a request.
#[derive(Debug, Eq, PartialEq)]
enum Response {
    Granted,
    Attach,
    Refused(NotRunReason),
    Unknown(UnknownReason),
    Nothing,
}

fn host(name: &str) -> HostId {
    HostId { name: name.parse().unwrap(), incarnation: 1 }
}

fn epoch(issued: u64) -> Epoch {
    Epoch { issued, provisional: 0 }
}

fn identity(digest: u8, idempotent: bool) -> Identity {
    let workspace: WorkspaceName = "ayaq".parse().unwrap();
    Identity {
        key: IdempotencyKey { workspace, key: "k".to_owned() },
        digest: [digest; 32],
        idempotent,
    }
}

fn submission(entry: &str, id: u128, identity: Identity) -> Submission {
    let record = RequestRecord {
        id: RequestId::new(id),
        entry: host(entry),
        workspace: identity.key.workspace.clone(),
        class: "count".parse().unwrap(),
        tier: Tier(0),
        target: Target::Whole(Duration::from_secs(60)),
        age: Duration::ZERO,
        prefill_tokens: 0,
        max_decode_tokens: None,
        prefix: Vec::new(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 1,
    };
    Submission { record, identity: Some(identity) }
}

struct Fixture {
    owner: Owner,
    out: Vec<OwnerAction>,
}

impl Fixture {
    fn new(coverage: ClaimCoverage, condition: CommitCondition, runners: u32) -> Self {
        let pool = PoolId { upstream: "api".parse().unwrap(), region: "almaty".parse().unwrap() };
        let pool = Pool::new(PoolSettings::new(pool, epoch(1)));
        let owner = Owner::new(pool, ClaimTable::default(), coverage);
        let mut fixture = Self { owner, out: Vec::new() };
        for n in 0..runners {
            let spec = RunnerSpec {
                name: format!("r{n}").parse().unwrap(),
                data_centre: "medeu".parse().unwrap(),
                initial_limit: 4,
                engine: false,
                leaving: false,
            };
            fixture.input(START, OwnerInput::Pool(PoolInput::RunnerUpdated(spec)));
        }
        fixture.input(START, OwnerInput::CommitCondition(condition));
        fixture
    }

    fn input(&mut self, now: MonoTime, input: OwnerInput) {
        self.out.clear();
        self.owner.handle(now, input, &mut self.out);
    }

    fn send_event(&mut self, now: MonoTime, entry: &str, event: EntryEvent) {
        let (entry, sent_at) = (host(entry), now);
        self.input(now, OwnerInput::EntryEvent { entry, sent_at, event });
    }

    fn submit(&mut self, now: MonoTime, submission: Submission) -> Response {
        let entry = submission.record.entry.name.to_string();
        let id = submission.record.id;
        self.send_event(now, &entry, EntryEvent::Submit(Box::new(submission)));
        self.response_to(id)
    }

    /// Returns the last response to a request among the latest actions.
    fn response_to(&self, wanted: RequestId) -> Response {
        let events = self.out.iter().filter_map(|action| match action {
            OwnerAction::SendToEntry { event, .. } => Some(event),
            _ => None,
        });
        let mut responses = events.filter_map(|event| match event {
            OwnerEvent::Granted { grant, .. } if grant.id == wanted => Some(Response::Granted),
            OwnerEvent::Refused { id, reason, .. } if *id == wanted => {
                Some(Response::Refused(*reason))
            }
            OwnerEvent::Repeat { id, response } if *id == wanted => Some(match response {
                RepeatResponse::Attach { .. } => Response::Attach,
                RepeatResponse::Unknown(reason) => Response::Unknown(*reason),
            }),
            _ => None,
        });
        responses.next_back().unwrap_or(Response::Nothing)
    }
}

fn lease_only() -> CommitCondition {
    CommitCondition::LeaseOnly { until: MonoTime::from_micros(u64::MAX) }
}

#[rstest]
#[case::other_digest(1, 9, false, Response::Refused(NotRunReason::IdentityReused))]
#[case::holder_up(1, 7, false, Response::Attach)]
#[case::holder_down_after_its_grant(1, 7, true, Response::Unknown(UnknownReason::HolderGone))]
#[case::holder_down_before_a_grant(0, 7, true, Response::Nothing)]
fn response_to_a_repeat_follows_from_its_claim(
    #[case] runners: u32,
    #[case] digest: u8,
    #[case] holder_down: bool,
    #[case] expected: Response,
) {
    let mut fixture = Fixture::new(ClaimCoverage::COMPLETE, lease_only(), runners);
    fixture.submit(START, submission("a", 1, identity(7, false)));
    if holder_down {
        fixture.input(START, OwnerInput::EntryDown(host("a")));
    }
    assert_eq!(fixture.submit(START, submission("b", 2, identity(digest, false))), expected);
    let held_by_b = fixture.owner.claims().iter().any(|claim| claim.entry == host("b"));
    assert_eq!(
        held_by_b,
        runners == 0,
        "only the claim of a request that never ran is transferred"
    );
}

#[rstest]
#[case::at_most_once(false, Response::Unknown(UnknownReason::BeyondMemory))]
#[case::idempotent_request(true, Response::Granted)]
fn only_idempotent_requests_run_while_claim_coverage_is_incomplete(
    #[case] idempotent: bool,
    #[case] expected: Response,
) {
    let mut fixture = Fixture::new(ClaimCoverage::since(START), lease_only(), 1);
    assert_eq!(fixture.submit(START, submission("a", 1, identity(7, idempotent))), expected);
    let covered = START + CLAIM_RETENTION;
    let later = fixture.submit(covered, submission("a", 2, identity(8, idempotent)));
    assert_eq!(
        later,
        if idempotent {
            Response::Refused(NotRunReason::IdentityReused)
        } else {
            Response::Granted
        }
    );
}

#[test]
fn claim_that_cannot_be_committed_waits_and_is_then_unchecked() {
    let mut fixture = Fixture::new(ClaimCoverage::COMPLETE, CommitCondition::Blocked, 1);
    assert_eq!(fixture.submit(START, submission("a", 1, identity(7, false))), Response::Nothing);
    fixture.input(MonoTime::from_millis(LATE_MS), OwnerInput::Tick);
    assert_eq!(fixture.response_to(RequestId::new(1)), Response::Unknown(UnknownReason::Unchecked));
    assert_eq!(fixture.submit(START, submission("a", 2, identity(8, false))), Response::Nothing);
    fixture.input(START, OwnerInput::CommitCondition(lease_only()));
    assert_eq!(fixture.response_to(RequestId::new(2)), Response::Granted);
}

#[test]
fn claim_is_committed_after_the_standbys_acknowledgement() {
    let mut fixture =
        Fixture::new(ClaimCoverage::COMPLETE, CommitCondition::StandbyAck(host("s")), 1);
    fixture.input(START, OwnerInput::SetStandby(Some(host("s"))));
    let acknowledged =
        |n| OwnerInput::StandbyReply { host: host("s"), reply: StandbyReply::Acknowledged(n) };
    fixture.input(START, acknowledged(1));
    assert_eq!(fixture.submit(START, submission("a", 1, identity(7, false))), Response::Nothing);
    fixture.input(START, acknowledged(2));
    assert_eq!(fixture.response_to(RequestId::new(1)), Response::Granted);
}

#[test]
fn key_is_unclaimed_after_its_retention() {
    let mut fixture = Fixture::new(ClaimCoverage::COMPLETE, lease_only(), 1);
    fixture.submit(START, submission("a", 1, identity(7, false)));
    let (id, end) = (RequestId::new(1), DispatchEnd::Failed);
    fixture.send_event(START, "a", EntryEvent::Ended { id, end });
    let before = START + CLAIM_RETENTION - Duration::from_millis(1);
    assert_eq!(fixture.submit(before, submission("b", 2, identity(7, false))), Response::Attach);
    let after = START + CLAIM_RETENTION;
    assert_eq!(fixture.submit(after, submission("b", 3, identity(7, false))), Response::Granted);
}

#[test]
fn a_standby_follows_the_highest_epoch_only() {
    let mut standby = Standby::new(epoch(2));
    let snapshot =
        || StandbyEvent::Snapshot { number: 1, claims: Vec::new(), incomplete_for: Duration::ZERO };
    let old = standby.handle(START, &host("x"), epoch(1), snapshot());
    assert_eq!(old, Some(StandbyReply::Superseded(epoch(2))));
    let new = standby.handle(START, &host("y"), epoch(2), snapshot());
    assert_eq!(new, Some(StandbyReply::Acknowledged(1)));
}

#[test]
fn standby_accepts_claims_in_sequence_only() {
    let mut standby = Standby::new(epoch(1));
    let claim = |id| Claim {
        identity: identity(7, false),
        entry: host("a"),
        id: RequestId::new(id),
        state: ClaimState::Waiting,
    };
    let snapshot =
        StandbyEvent::Snapshot { number: 1, claims: Vec::new(), incomplete_for: Duration::ZERO };
    standby.handle(START, &host("x"), epoch(1), snapshot);
    let third = StandbyEvent::Claim { number: 3, claim: claim(3) };
    assert_eq!(standby.handle(START, &host("x"), epoch(1), third), None);
    let second = StandbyEvent::Claim { number: 2, claim: claim(2) };
    let acknowledged = standby.handle(START, &host("x"), epoch(1), second);
    assert_eq!(acknowledged, Some(StandbyReply::Acknowledged(2)));
    let inherited = standby.into_claims(START);
    assert!(inherited.iter().all(|claim| claim.state == ClaimState::Granted));
    assert_eq!(inherited.len(), 1);
}
