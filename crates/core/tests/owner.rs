//! The owner's answers to repeats, and the standby's copy.
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

/// What the second of two requests with one key is told.
#[derive(Debug, Eq, PartialEq)]
enum Told {
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
        body_bytes: 1,
    };
    Submission { record, identity: Some(identity) }
}

struct Bench {
    owner: Owner,
    out: Vec<OwnerAction>,
}

impl Bench {
    fn new(coverage: ClaimCoverage, condition: CommitCondition, runners: u32) -> Self {
        let pool = PoolId { upstream: "api".parse().unwrap(), region: "almaty".parse().unwrap() };
        let pool = Pool::new(PoolSettings::new(pool, epoch(1)));
        let owner = Owner::new(pool, ClaimTable::default(), coverage);
        let mut bench = Self { owner, out: Vec::new() };
        for n in 0..runners {
            let spec = RunnerSpec {
                name: format!("r{n}").parse().unwrap(),
                data_centre: "medeu".parse().unwrap(),
                initial_limit: 4,
                engine: false,
                leaving: false,
            };
            bench.input(START, OwnerInput::Pool(PoolInput::RunnerUpdated(spec)));
        }
        bench.input(START, OwnerInput::CommitCondition(condition));
        bench
    }

    fn input(&mut self, now: MonoTime, input: OwnerInput) {
        self.out.clear();
        self.owner.handle(now, input, &mut self.out);
    }

    fn tell(&mut self, now: MonoTime, entry: &str, event: EntryEvent) {
        let (entry, sent_at) = (host(entry), now);
        self.input(now, OwnerInput::EntryEvent { entry, sent_at, event });
    }

    fn submit(&mut self, now: MonoTime, submission: Submission) -> Told {
        let entry = submission.record.entry.name.to_string();
        let id = submission.record.id;
        self.tell(now, &entry, EntryEvent::Submit(Box::new(submission)));
        self.told(id)
    }

    fn told(&self, wanted: RequestId) -> Told {
        let events = self.out.iter().filter_map(|action| match action {
            OwnerAction::SendToEntry { event, .. } => Some(event),
            _ => None,
        });
        let mut told = events.filter_map(|event| match event {
            OwnerEvent::Granted { grant, .. } if grant.id == wanted => Some(Told::Granted),
            OwnerEvent::Refused { id, reason, .. } if *id == wanted => Some(Told::Refused(*reason)),
            OwnerEvent::Repeat { id, response } if *id == wanted => Some(match response {
                RepeatResponse::Attach { .. } => Told::Attach,
                RepeatResponse::Unknown(reason) => Told::Unknown(*reason),
            }),
            _ => None,
        });
        told.next_back().unwrap_or(Told::Nothing)
    }
}

fn lease_only() -> CommitCondition {
    CommitCondition::LeaseOnly { until: MonoTime::from_micros(u64::MAX) }
}

#[rstest]
#[case::other_body(1, 9, false, Told::Refused(NotRunReason::IdentityReused))]
#[case::holder_alive(1, 7, false, Told::Attach)]
#[case::holder_gone_after_its_grant(1, 7, true, Told::Unknown(UnknownReason::HolderGone))]
#[case::holder_gone_before_a_grant(0, 7, true, Told::Nothing)]
fn a_repeat_is_answered_by_its_claim(
    #[case] runners: u32,
    #[case] digest: u8,
    #[case] holder_gone: bool,
    #[case] expected: Told,
) {
    let mut bench = Bench::new(ClaimCoverage::COMPLETE, lease_only(), runners);
    bench.submit(START, submission("a", 1, identity(7, false)));
    if holder_gone {
        bench.input(START, OwnerInput::EntryDown(host("a")));
    }
    assert_eq!(bench.submit(START, submission("b", 2, identity(digest, false))), expected);
    let held_by_b = bench.owner.claims().iter().any(|claim| claim.entry == host("b"));
    assert_eq!(held_by_b, runners == 0, "only a request that never ran gives its claim away");
}

#[rstest]
#[case::at_most_once(false, Told::Unknown(UnknownReason::BeyondMemory))]
#[case::may_be_repeated(true, Told::Granted)]
fn an_incomplete_memory_takes_no_key_for_new(#[case] idempotent: bool, #[case] expected: Told) {
    let mut bench = Bench::new(ClaimCoverage::since(START), lease_only(), 1);
    assert_eq!(bench.submit(START, submission("a", 1, identity(7, idempotent))), expected);
    let covered = START + CLAIM_RETENTION;
    let later = bench.submit(covered, submission("a", 2, identity(8, idempotent)));
    assert_eq!(
        later,
        if idempotent { Told::Refused(NotRunReason::IdentityReused) } else { Told::Granted }
    );
}

#[test]
fn a_claim_that_nothing_proves_is_held_and_then_unchecked() {
    let mut bench = Bench::new(ClaimCoverage::COMPLETE, CommitCondition::Blocked, 1);
    assert_eq!(bench.submit(START, submission("a", 1, identity(7, false))), Told::Nothing);
    bench.input(MonoTime::from_millis(LATE_MS), OwnerInput::Tick);
    assert_eq!(bench.told(RequestId::new(1)), Told::Unknown(UnknownReason::Unchecked));
    assert_eq!(bench.submit(START, submission("a", 2, identity(8, false))), Told::Nothing);
    bench.input(START, OwnerInput::CommitCondition(lease_only()));
    assert_eq!(bench.told(RequestId::new(2)), Told::Granted);
}

#[test]
fn a_claim_waits_for_the_standby() {
    let mut bench = Bench::new(ClaimCoverage::COMPLETE, CommitCondition::StandbyAck(host("s")), 1);
    bench.input(START, OwnerInput::SetStandby(Some(host("s"))));
    let taken =
        |n| OwnerInput::StandbyReply { host: host("s"), reply: StandbyReply::Acknowledged(n) };
    bench.input(START, taken(1));
    assert_eq!(bench.submit(START, submission("a", 1, identity(7, false))), Told::Nothing);
    bench.input(START, taken(2));
    assert_eq!(bench.told(RequestId::new(1)), Told::Granted);
}

#[test]
fn a_key_is_free_again_after_its_retention() {
    let mut bench = Bench::new(ClaimCoverage::COMPLETE, lease_only(), 1);
    bench.submit(START, submission("a", 1, identity(7, false)));
    let (id, end) = (RequestId::new(1), DispatchEnd::Failed);
    bench.tell(START, "a", EntryEvent::Ended { id, end });
    let before = START + CLAIM_RETENTION - Duration::from_millis(1);
    assert_eq!(bench.submit(before, submission("b", 2, identity(7, false))), Told::Attach);
    let after = START + CLAIM_RETENTION;
    assert_eq!(bench.submit(after, submission("b", 3, identity(7, false))), Told::Granted);
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
fn a_standby_takes_claims_in_their_order_only() {
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
    let taken = standby.handle(START, &host("x"), epoch(1), second);
    assert_eq!(taken, Some(StandbyReply::Acknowledged(2)));
    let inherited = standby.into_claims(START);
    assert!(inherited.iter().all(|claim| claim.state == ClaimState::Granted));
    assert_eq!(inherited.len(), 1);
}
