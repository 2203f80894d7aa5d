//! State machine of a pool's owner.

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
    OwnerInput, blocked::BlockedSubmissions, replica::Replica,
};

/// Owner of one pool during one term.
pub struct Owner {
    pool: Pool,
    pub(super) claims: ClaimTable,
    pub(super) coverage: ClaimCoverage,
    pub(super) commit_condition: CommitCondition,
    pub(super) replica: Option<Replica>,
    /// Claimed requests that wait for the standby's acknowledgement.
    pub(super) uncommitted: BTreeSet<RequestId>,
    /// Grants that were sent and whose use the entry has not reported yet.
    pub(super) granted: BTreeMap<RequestId, Grant>,
    /// Entries that are down.
    pub(super) down_entries: BTreeSet<HostId>,
    /// Requests that wait until their claims can be committed.
    pub(super) blocked: BlockedSubmissions,
    /// Latest time by each entry's clock at which it sent an event.
    pub(super) entry_sent_at: BTreeMap<HostId, MonoTime>,
    /// Sequence number of the first event to the next replica.
    pub(super) next_number: u64,
    pool_actions: Vec<PoolAction>,
}

impl fmt::Debug for Owner {
    /// Prints the state of claims and grants, and only counts of the pool.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owner")
            .field("epoch", &self.epoch())
            .field("waiting", &self.pool.waiting())
            .field("in_progress", &self.pool.in_progress())
            .field("claims", &self.claims)
            .field("coverage", &self.coverage)
            .field("commit_condition", &self.commit_condition)
            .field("replica", &self.replica)
            .field("uncommitted", &self.uncommitted)
            .field("granted", &self.granted)
            .field("blocked", &self.blocked)
            .field("down_entries", &self.down_entries)
            .field("entry_sent_at", &self.entry_sent_at)
            .finish_non_exhaustive()
    }
}

impl Owner {
    /// Creates an owner at the start of its term.
    #[must_use]
    pub fn new(pool: Pool, claims: ClaimTable, coverage: ClaimCoverage) -> Self {
        Self {
            pool,
            claims,
            coverage,
            commit_condition: CommitCondition::Blocked,
            replica: None,
            uncommitted: BTreeSet::new(),
            granted: BTreeMap::new(),
            down_entries: BTreeSet::new(),
            blocked: BlockedSubmissions::default(),
            entry_sent_at: BTreeMap::new(),
            next_number: 1,
            pool_actions: Vec::new(),
        }
    }

    /// The pool that this owner schedules.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Epoch of this owner.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.pool.settings().epoch
    }

    /// The claims of this term.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Consumes the owner and returns its claims for a later term on this host.
    #[must_use]
    pub fn into_claims(self) -> ClaimTable {
        self.claims
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: OwnerInput, out: &mut Vec<OwnerAction>) {
        match input {
            OwnerInput::EntryEvent { entry, sent_at, event } => {
                let latest = self.entry_sent_at.entry(entry.clone()).or_default();
                *latest = sent_at.max(*latest);
                if self.down_entries.remove(&entry) {
                    let event = OwnerEvent::SubmitAgain;
                    out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
                }
                self.entry_event(now, &entry, event, out);
            }
            OwnerInput::EntryUp(entry) => {
                self.down_entries.remove(&entry);
                out.push(OwnerAction::SendToEntry { entry, event: OwnerEvent::SubmitAgain });
            }
            OwnerInput::EntryDown(entry) => self.entry_down(now, entry, out),
            OwnerInput::Pool(input) => self.pool_input(now, input, out),
            OwnerInput::SetStandby(host) => self.set_standby(now, host, out),
            OwnerInput::StandbyReply { host, reply } => self.standby_reply(now, &host, reply, out),
            OwnerInput::CommitCondition(condition) => self.commit_condition = condition,
            OwnerInput::ClaimCoverage(coverage) => self.coverage = coverage,
            OwnerInput::Tick => {
                self.resend_overdue(now, out);
                self.pool_input(now, PoolInput::Tick, out);
            }
        }
        self.submit_blocked(now, out);
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
                self.uncommitted.remove(&id);
                self.blocked.remove(id);
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
        let entry_sent_at = self.entry_sent_at.get(entry).copied().unwrap_or_default();
        let event = OwnerEvent::Granted { grant, entry_sent_at };
        out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
    }
}
