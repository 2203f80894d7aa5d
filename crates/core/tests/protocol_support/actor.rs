//! The actors of the model in their initial states.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use comfreyway_core::{
    cluster::ClaimSource,
    entry::{Entry, EntryInput, OwnerView},
    ids::{Epoch, HostId, PoolId, RequestId, Tier},
    owner::{CommitCondition, IdempotencyKey, Identity, OwnerInput, PoolRole, Submission},
    pool::{PoolInput, PoolSettings, RunnerSpec},
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{ACTORS, TIME_ADVANCE_MS, X};

pub(super) fn host(name: &str) -> HostId {
    HostId { name: name.parse().unwrap(), incarnation: 1 }
}

pub(super) fn hosts() -> [HostId; ACTORS] {
    ["a", "b", "x", "y"].map(host)
}

pub(super) fn pool() -> PoolId {
    PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() }
}

pub(super) fn epoch(issued: u64) -> Epoch {
    Epoch { issued, provisional: 0 }
}

pub(super) fn time(time_advanced: bool) -> MonoTime {
    MonoTime::from_millis(if time_advanced { 1_000 + TIME_ADVANCE_MS } else { 1_000 })
}

/// Returns the one request of the model, as received by entry `ix`.
pub(super) fn submission(ix: usize, idempotent: bool) -> Submission {
    let workspace: comfreyway_core::ids::WorkspaceName = "ayaq".parse().unwrap();
    let key = IdempotencyKey { workspace: workspace.clone(), key: "quote-7".to_owned() };
    let record = RequestRecord {
        id: RequestId::new(ix as u128 + 1),
        entry: hosts()[ix].clone(),
        workspace,
        class: "quote".parse().unwrap(),
        tier: Tier(0),
        target: Target::Whole(Duration::from_millis(TIME_ADVANCE_MS)),
        age: Duration::ZERO,
        prefill_tokens: 0,
        max_decode_tokens: None,
        prefix: Vec::new(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 10,
    };
    Submission { record, identity: Some(Identity { key, digest: [7; 32], idempotent }) }
}

pub(super) enum Actor {
    Entry(Box<Entry>),
    Role(Box<PoolRole>),
}

impl Actor {
    pub(super) fn new(ix: usize) -> Self {
        if ix < X {
            let mut entry = Entry::new(hosts()[ix].clone());
            let view = OwnerView { owner: Some(hosts()[X].clone()), epoch: epoch(1) };
            let input = EntryInput::OwnerChanged { pool: pool(), view };
            entry.handle(time(false), input, &mut Vec::new());
            return Self::Entry(Box::new(entry));
        }
        let mut role = PoolRole::new();
        if ix == X {
            begin_term(&mut role, time(false), 1, &ClaimSource::FirstTerm);
            let mut out = Vec::new();
            role.handle(time(false), OwnerInput::SetStandby(Some(host("y"))), &mut out);
            role.handle(
                time(false),
                OwnerInput::CommitCondition(CommitCondition::StandbyAck(host("y"))),
                &mut out,
            );
        }
        Self::Role(Box::new(role))
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let text = match self {
            Self::Entry(entry) => format!("{entry:?}"),
            Self::Role(role) => format!("{role:?}"),
        };
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    }
}

/// Begins a term with one runner that has capacity for both requests.
pub(super) fn begin_term(
    role: &mut PoolRole,
    now: MonoTime,
    issued: u64,
    claim_source: &ClaimSource,
) {
    let settings =
        PoolSettings::new(pool(), epoch(issued)).with_grant_lifetime(Duration::from_millis(1_000));
    role.begin_term(now, settings, claim_source);
    let spec = RunnerSpec {
        name: "r".parse().unwrap(),
        data_centre: "medeu".parse().unwrap(),
        initial_limit: 4,
        engine: false,
        leaving: false,
    };
    role.handle(now, OwnerInput::Pool(PoolInput::RunnerUpdated(spec)), &mut Vec::new());
}
