//! State machine of an entry.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, PoolId, RequestId},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    owner::{EntryEvent, Submission},
    time::MonoTime,
};

use super::{Dispatched, EntryAction, EntryInput, OwnerView, Waiting};

/// Time after which a caller may try again.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Failed dispatches after which a request ends as not run.
const MAX_FAILED_DISPATCHES: u8 = 3;

/// All requests of one host that have no response yet.
#[derive(Debug)]
pub struct Entry {
    host: HostId,
    stopping: bool,
    pub(super) owners: BTreeMap<PoolId, OwnerView>,
    pub(super) last_sent_at: BTreeMap<PoolId, MonoTime>,
    pub(super) waiting: BTreeMap<RequestId, Waiting>,
    pub(super) dispatched: BTreeMap<RequestId, Dispatched>,
    pub(super) timer: Option<MonoTime>,
}

impl Entry {
    /// Creates an entry without requests.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            stopping: false,
            owners: BTreeMap::new(),
            last_sent_at: BTreeMap::new(),
            waiting: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            timer: None,
        }
    }

    /// The host that this entry runs on.
    #[must_use]
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Number of requests that wait for a grant.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests whose dispatch has not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.dispatched.len()
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Received { submission, pool } => self.receive(now, submission, pool, out),
            EntryInput::OwnerEvent { owner, pool, epoch, event } => {
                self.owner_event(now, owner, &pool, epoch, event, out);
            }
            EntryInput::NotSent { id, reason } => self.not_sent(now, id, reason, out),
            EntryInput::FirstToken(id) => {
                if let Some(pool) = self.dispatched.get(&id).map(|d| d.pool().clone()) {
                    self.send_to_owner(now, &pool, EntryEvent::FirstToken(id), out);
                }
            }
            EntryInput::RunnerLeaving(id) => {
                let found =
                    self.dispatched.get(&id).map(|d| (d.pool().clone(), d.runner().clone()));
                if let Some((pool, runner)) = found {
                    self.send_to_owner(now, &pool, EntryEvent::RunnerLeaving(runner), out);
                }
            }
            EntryInput::Ended { id, end } => {
                if let Some(dispatched) = self.dispatched.remove(&id) {
                    self.send_to_owner(now, dispatched.pool(), EntryEvent::Ended { id, end }, out);
                }
            }
            EntryInput::CallerGone(id) => {
                self.withdraw(now, id, out);
            }
            EntryInput::OwnerChanged { pool, view } => self.owner_changed(now, pool, view, out),
            EntryInput::HostDown(host) => self.host_down(&host),
            EntryInput::Stop => self.stopping = true,
            EntryInput::Tick => self.tick(now, out),
        }
        self.arm_timer(now, out);
    }

    fn receive(
        &mut self,
        now: MonoTime,
        submission: Submission,
        pool: PoolId,
        out: &mut Vec<EntryAction>,
    ) {
        let id = submission.record.id;
        let waiting = Waiting::new(submission, pool, now);
        if self.stopping {
            respond_not_run(&waiting, false, NotRunReason::Stopping, out);
            return;
        }
        let event = EntryEvent::Submit(Box::new(waiting.submission(now)));
        self.send_to_owner(now, waiting.pool(), event, out);
        self.waiting.insert(id, waiting);
    }

    fn not_sent(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(dispatched) = self.dispatched.remove(&id) else { return };
        let waiting = dispatched.requeue();
        if waiting.failed_dispatches() >= MAX_FAILED_DISPATCHES {
            self.send_to_owner(now, waiting.pool(), EntryEvent::Withdraw(id), out);
            respond_not_run(&waiting, true, NotRunReason::ConnectFailed, out);
            return;
        }
        self.send_to_owner(now, waiting.pool(), EntryEvent::GrantUnused { id, reason }, out);
        self.waiting.insert(id, waiting);
    }

    /// Withdraws a waiting request. The entry does not submit it again.
    pub(super) fn withdraw(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.send_to_owner(now, waiting.pool(), EntryEvent::Withdraw(id), out);
        Some(waiting)
    }

    pub(super) fn send_to_owner(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        event: EntryEvent,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.owners.get(pool) else { return };
        let Some(owner) = view.owner.clone() else { return };
        let (pool, epoch) = (pool.clone(), view.epoch);
        self.last_sent_at.insert(pool.clone(), now);
        out.push(EntryAction::SendToOwner { owner, pool, epoch, sent_at: now, event });
    }
}

/// Responds that a request was not run. If the request must run at most once and
/// the owner has not checked its identity, responds that the outcome is unknown
/// instead: an earlier attempt through another host may have run.
pub(super) fn respond_not_run(
    waiting: &Waiting,
    checked: bool,
    reason: NotRunReason,
    out: &mut Vec<EntryAction>,
) {
    let id = waiting.record().id;
    if waiting.at_most_once() && !checked {
        out.push(EntryAction::RespondUnknown { id, reason: UnknownReason::Unchecked });
        return;
    }
    out.push(EntryAction::RespondNotRun { id, reason, retry_after: RETRY_AFTER });
}
