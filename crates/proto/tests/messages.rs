//! Peer messages: round trip, messages of later releases, and size.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_core::{
    cluster::Announcement,
    ids::{Epoch, HostId, PoolId, RequestId, Tier},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    owner::{
        Claim, ClaimState, EntryEvent, IdempotencyKey, Identity, OwnerEvent, RepeatResponse,
        StandbyEvent, StandbyReply, Submission,
    },
    request::{BlockHash, DispatchEnd, Grant, RequestRecord, Target, Usage},
    time::MonoTime,
};
use comfreyway_proto::peer::{
    FromStandby, HandOver, Hello, PeerMessage, ToEntry, ToOwner, ToStandby, decode, encode,
};
use rstest::rstest;

fn host() -> HostId {
    HostId { name: "alatau-1".parse().unwrap(), incarnation: 1_790_000_000_000_000 }
}

fn pool() -> PoolId {
    PoolId { upstream: "dala-llm".parse().unwrap(), region: "almaty".parse().unwrap() }
}

fn epoch() -> Epoch {
    Epoch { issued: 7, provisional: 1 }
}

fn identity() -> Identity {
    let key = IdempotencyKey { workspace: "ayaq".parse().unwrap(), key: "summary 17".to_owned() };
    Identity { key, digest: [9; 32], idempotent: false }
}

fn submission() -> Submission {
    let record = RequestRecord {
        id: RequestId::new(u128::MAX - 1),
        entry: host(),
        workspace: "ayaq".parse().unwrap(),
        class: "summary".parse().unwrap(),
        tier: Tier(0),
        target: Target::Stream {
            first_token: Duration::from_millis(1_300),
            between_tokens: Duration::from_millis(76),
        },
        age: Duration::from_micros(12),
        prefill_tokens: 4_096,
        max_decode_tokens: Some(256),
        prefix: vec![BlockHash(u64::MAX), BlockHash(3)],
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 16_000,
    };
    Submission { record, identity: Some(identity()) }
}

fn grant() -> Grant {
    Grant {
        id: RequestId::new(1),
        runner: "r-3".parse().unwrap(),
        epoch: epoch(),
        valid_for: Duration::from_secs(1),
    }
}

fn claim() -> Claim {
    let (identity, entry, id) = (identity(), host(), RequestId::new(2));
    Claim { identity, entry, id, state: ClaimState::Waiting }
}

fn to_owner(event: EntryEvent) -> PeerMessage {
    let sent_at = MonoTime::from_millis(77);
    PeerMessage::ToOwner(ToOwner { pool: pool(), epoch: epoch(), sent_at, event })
}

fn to_entry(event: OwnerEvent) -> PeerMessage {
    PeerMessage::ToEntry(ToEntry { pool: pool(), epoch: epoch(), event })
}

fn to_standby(event: StandbyEvent) -> PeerMessage {
    PeerMessage::ToStandby(ToStandby { pool: pool(), epoch: epoch(), event })
}

fn messages() -> Vec<PeerMessage> {
    let id = RequestId::new(3);
    let (runner, entry) = (grant().runner, host());
    let granted = OwnerEvent::Granted { grant: grant(), entry_sent_at: MonoTime::from_millis(5) };
    let refused =
        OwnerEvent::Refused { id, reason: NotRunReason::Shed, retry_after: Duration::from_secs(2) };
    let attach = RepeatResponse::Attach { id, holder: host() };
    let unknown = RepeatResponse::Unknown(UnknownReason::HolderGone);
    let claims = vec![claim(), claim()];
    let incomplete_for = Duration::from_secs(3);
    let from = |reply| FromStandby { pool: pool(), epoch: epoch(), reply };
    let (owner, standby) = (host(), Some(host()));
    vec![
        PeerMessage::Hello(Hello::new(host(), "127.0.0.1:7002".parse().unwrap())),
        to_owner(EntryEvent::Refresh),
        to_owner(EntryEvent::Submit(Box::new(submission()))),
        to_owner(EntryEvent::Withdraw(id)),
        to_owner(EntryEvent::NotHeld(id)),
        to_owner(EntryEvent::GrantUnused { id, reason: RetryReason::GrantExpired }),
        to_owner(EntryEvent::Dispatched(id)),
        to_owner(EntryEvent::FirstToken(id)),
        to_owner(EntryEvent::Ended { id, end: DispatchEnd::Complete(Usage::default()) }),
        to_owner(EntryEvent::Adopt { submission: Box::new(submission()), runner }),
        to_entry(granted),
        to_entry(refused),
        to_entry(OwnerEvent::SubmitAgain),
        to_entry(OwnerEvent::Repeat { id, response: attach }),
        to_entry(OwnerEvent::Repeat { id, response: unknown }),
        to_standby(StandbyEvent::Snapshot { number: 1, claims, incomplete_for }),
        to_standby(StandbyEvent::Claim { number: 2, claim: claim() }),
        to_standby(StandbyEvent::Ended(id)),
        to_standby(StandbyEvent::Release { entry, id }),
        PeerMessage::FromStandby(from(StandbyReply::Acknowledged(2))),
        PeerMessage::FromStandby(from(StandbyReply::Superseded(epoch()))),
        PeerMessage::Announce(Announcement { pool: pool(), epoch: epoch(), owner, standby }),
        PeerMessage::HandOver(HandOver { pool: pool(), epoch: epoch() }),
        PeerMessage::Leaving,
        PeerMessage::Unknown,
    ]
}

#[test]
fn every_kind_round_trips() {
    for message in messages() {
        let buf = encode(&message).unwrap();
        assert_eq!(decode(&buf).unwrap(), message, "{}", message.kind());
    }
}

#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
enum Later {
    Leaving { since: u64 },
    Rebalance { weight: f64 },
}

#[rstest]
#[case::newer_field(Later::Leaving { since: 3 }, PeerMessage::Leaving)]
#[case::newer_kind(Later::Rebalance { weight: 0.5 }, PeerMessage::Unknown)]
fn messages_of_a_later_release_decode(#[case] later: Later, #[case] expected: PeerMessage) {
    let mut buf = Vec::new();
    ciborium::into_writer(&later, &mut buf).unwrap();
    assert_eq!(decode(&buf).unwrap(), expected);
}

/// Largest rate of control messages that a host may send.
const BUDGET_BYTES_PER_SECOND: usize = 4_096;
/// Requests per second of one host at the planned size: 1,500 over 380 hosts.
const REQUESTS_PER_SECOND: usize = 4;

#[test]
fn entry_messages_fit_the_control_budget_at_the_planned_rate() {
    let id = RequestId::new(3);
    let events = [
        EntryEvent::Submit(Box::new(submission())),
        EntryEvent::Dispatched(id),
        EntryEvent::FirstToken(id),
        EntryEvent::Ended { id, end: DispatchEnd::Complete(Usage::default()) },
    ];
    let bytes: usize = events.map(|event| encode(&to_owner(event)).unwrap().len()).iter().sum();
    assert!(bytes * REQUESTS_PER_SECOND <= BUDGET_BYTES_PER_SECOND, "{bytes} bytes a request");
}

#[test]
fn request_id_serializes_as_its_display_text() {
    let id = RequestId::new(9);
    let text = serde_json::to_string(&id).unwrap();
    assert_eq!(text, format!("\"{id}\""));
    assert_eq!(serde_json::from_str::<RequestId>(&text).unwrap(), id);
}
