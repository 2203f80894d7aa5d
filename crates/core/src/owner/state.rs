//! State and decisions of a pool's owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{
    ids::{Epoch, HostId, RequestId},
    pool::{Pool, PoolAction, PoolInput},
    request::Grant,
    time::MonoTime,
};

use super::{
    ClaimCoverage, ClaimState, ClaimTable, CommitCondition, EntryEvent, OwnerAction, OwnerEvent,
    OwnerInput, held::Held, replica::Replica,
};

/// The owner of one pool in one term.
pub struct Owner {
    pool: Pool,
    pub(super) claims: ClaimTable,
    pub(super) memory: ClaimCoverage,
    pub(super) guard: CommitCondition,
    pub(super) replica: Option<Replica>,
    /// Claimed requests that wait for the standby.
    pub(super) unproved: BTreeSet<RequestId>,
    /// Grants that were sent and whose use is not known yet.
    pub(super) granted: BTreeMap<RequestId, Grant>,
    pub(super) gone: BTreeSet<HostId>,
    pub(super) held: Held,
    pub(super) asked: BTreeMap<HostId, MonoTime>,
    pub(super) next_number: u64,
    pool_actions: Vec<PoolAction>,
}

impl fmt::Debug for Owner {
    /// Shows what bears on claims and grants, and of the pool only counts.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owner")
            .field("epoch", &self.epoch())
            .field("waiting", &self.pool.waiting())
            .field("in_progress", &self.pool.in_progress())
            .field("claims", &self.claims)
            .field("memory", &self.memory)
            .field("guard", &self.guard)
            .field("replica", &self.replica)
            .field("unproved", &self.unproved)
            .field("granted", &self.granted)
            .field("held", &self.held)
            .field("gone", &self.gone)
            .field("asked", &self.asked)
            .finish_non_exhaustive()
    }
}

impl Owner {
    /// An owner at the start of its term.
    #[must_use]
    pub fn new(pool: Pool, claims: ClaimTable, memory: ClaimCoverage) -> Self {
        Self {
            pool,
            claims,
            memory,
            guard: CommitCondition::Blocked,
            replica: None,
            unproved: BTreeSet::new(),
            granted: BTreeMap::new(),
            gone: BTreeSet::new(),
            held: Held::default(),
            asked: BTreeMap::new(),
            next_number: 1,
            pool_actions: Vec::new(),
        }
    }

    /// The ranking of the pool.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Term of this owner.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.pool.settings().epoch
    }

    /// The claims of this term.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The claims, for a later term on the same host.
    #[must_use]
    pub fn into_claims(self) -> ClaimTable {
        self.claims
    }

    /// Decides on one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: OwnerInput, out: &mut Vec<OwnerAction>) {
        match input {
            OwnerInput::EntryEvent { entry, sent_at, event } => {
                let asked = self.asked.entry(entry.clone()).or_default();
                *asked = sent_at.max(*asked);
                if self.gone.remove(&entry) {
                    let event = OwnerEvent::SubmitAgain;
                    out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
                }
                self.entry_event(now, &entry, event, out);
            }
            OwnerInput::EntryUp(entry) => {
                self.gone.remove(&entry);
                out.push(OwnerAction::SendToEntry { entry, event: OwnerEvent::SubmitAgain });
            }
            OwnerInput::EntryDown(entry) => self.entry_gone(now, entry, out),
            OwnerInput::Pool(input) => self.pool_input(now, input, out),
            OwnerInput::SetStandby(host) => self.use_standby(now, host, out),
            OwnerInput::StandbyReply { host, reply } => self.standby_reply(now, &host, reply, out),
            OwnerInput::CommitCondition(guard) => self.guard = guard,
            OwnerInput::ClaimCoverage(memory) => self.memory = memory,
            OwnerInput::Tick => {
                self.replicate_again(now, out);
                self.pool_input(now, PoolInput::Tick, out);
            }
        }
        self.review_held(now, out);
    }

    fn entry_event(
        &mut self,
        now: MonoTime,
        entry: &HostId,
        event: EntryEvent,
        out: &mut Vec<OwnerAction>,
    ) {
        match event {
            EntryEvent::Refresh => {}
            EntryEvent::Submit(submission) => self.submit(now, *submission, out),
            EntryEvent::Withdraw(id) => {
                self.granted.remove(&id);
                self.unproved.remove(&id);
                self.held.remove(id);
                self.release(entry, id, out);
                self.pool_input(now, PoolInput::Withdraw(id), out);
            }
            EntryEvent::NotHeld(id) => {
                self.granted.remove(&id);
                self.end_claim(now, id, out);
                self.pool_input(now, PoolInput::Withdraw(id), out);
            }
            EntryEvent::GrantUnused { id, reason } => {
                self.granted.remove(&id);
                self.pool_input(now, PoolInput::GrantUnused { id, reason }, out);
            }
            EntryEvent::Dispatched(id) => {
                self.granted.remove(&id);
                self.pool_input(now, PoolInput::Dispatched(id), out);
            }
            EntryEvent::FirstToken(id) => self.pool_input(now, PoolInput::FirstToken(id), out),
            EntryEvent::RunnerLeaving(runner) => {
                self.pool_input(now, PoolInput::RunnerLeaving(runner), out);
            }
            EntryEvent::Ended { id, end } => {
                self.granted.remove(&id);
                self.end_claim(now, id, out);
                self.pool_input(now, PoolInput::Ended { id, end }, out);
            }
            EntryEvent::Adopt { submission, runner } => {
                self.granted.remove(&submission.record.id);
                self.adopt_claim(now, &submission, out);
                let record = submission.record;
                self.pool_input(now, PoolInput::Adopt { record, runner }, out);
            }
        }
    }

    pub(super) fn pool_input(
        &mut self,
        now: MonoTime,
        input: PoolInput,
        out: &mut Vec<OwnerAction>,
    ) {
        let mut actions = std::mem::take(&mut self.pool_actions);
        self.pool.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            match action {
                PoolAction::Grant { entry, grant } => {
                    self.claims.advance(now, grant.id, ClaimState::Granted);
                    self.granted.insert(grant.id, grant.clone());
                    self.send_grant(&entry, grant, out);
                }
                PoolAction::Refuse { entry, id, reason, retry_after } => {
                    let event = OwnerEvent::Refused { id, reason, retry_after };
                    out.push(OwnerAction::SendToEntry { entry, event });
                }
                PoolAction::SetTimer(at) => out.push(OwnerAction::SetTimer(at)),
            }
        }
        self.pool_actions = actions;
    }

    pub(super) fn send_grant(&self, entry: &HostId, grant: Grant, out: &mut Vec<OwnerAction>) {
        let entry_sent_at = self.asked.get(entry).copied().unwrap_or_default();
        let event = OwnerEvent::Granted { grant, entry_sent_at };
        out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
    }
}
