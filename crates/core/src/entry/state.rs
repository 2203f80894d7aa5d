//! State and decisions of an entry.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, PoolId, RequestId},
    outcome::{NotRunReason, RetryReason},
    pool::PoolInput,
    request::{Grant, RequestRecord},
    time::MonoTime,
};

use super::{Dispatched, EntryAction, EntryInput, OwnerView, Waiting};

/// Time after which a caller may try again when no owner is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// All requests of one host that are not answered yet.
pub struct Entry {
    host: HostId,
    owners: BTreeMap<PoolId, OwnerView>,
    waiting: BTreeMap<RequestId, Waiting>,
    dispatched: BTreeMap<RequestId, Dispatched>,
}

impl Entry {
    /// An entry without requests.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            owners: BTreeMap::new(),
            waiting: BTreeMap::new(),
            dispatched: BTreeMap::new(),
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

    /// Decides on one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Received { record, pool } => self.receive(now, record, pool, out),
            EntryInput::Granted { pool, grant } => self.granted(&pool, &grant, out),
            EntryInput::Refused { epoch, id, reason, retry_after } => {
                let current = self.waiting.get(&id).and_then(|w| self.owners.get(&w.pool));
                if current.is_some_and(|view| view.epoch <= epoch) {
                    self.waiting.remove(&id);
                    out.push(EntryAction::AnswerNotRun { id, reason, retry_after });
                }
            }
            EntryInput::NotSent { id, reason } => {
                if let Some(dispatched) = self.dispatched.remove(&id) {
                    let waiting = dispatched.back_to_waiting();
                    self.tell(&waiting.pool, PoolInput::GrantUnused { id, reason }, out);
                    self.waiting.insert(id, waiting);
                }
            }
            EntryInput::FirstToken(id) => {
                if let Some(pool) = self.dispatched.get(&id).map(|d| d.pool.clone()) {
                    self.tell(&pool, PoolInput::FirstToken(id), out);
                }
            }
            EntryInput::RunnerLeaving(id) => {
                let told = self.dispatched.get(&id).map(|d| (d.pool.clone(), d.runner.clone()));
                if let Some((pool, runner)) = told {
                    self.tell(&pool, PoolInput::RunnerLeaving(runner), out);
                }
            }
            EntryInput::Ended { id, end } => {
                if let Some(dispatched) = self.dispatched.remove(&id) {
                    self.tell(&dispatched.pool, PoolInput::Ended { id, end }, out);
                }
            }
            EntryInput::CallerGone(id) => {
                if let Some(waiting) = self.waiting.remove(&id) {
                    self.tell(&waiting.pool, PoolInput::Withdraw(id), out);
                }
            }
            EntryInput::OwnerChanged { pool, view } => self.owner_changed(now, pool, view, out),
            EntryInput::Tick => {}
        }
    }

    fn receive(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        pool: PoolId,
        out: &mut Vec<EntryAction>,
    ) {
        let id = record.id;
        if self.owners.get(&pool).is_none_or(|view| view.owner.is_none()) {
            let reason = NotRunReason::NoOwner;
            out.push(EntryAction::AnswerNotRun { id, reason, retry_after: RETRY_AFTER });
            return;
        }
        self.tell(&pool, PoolInput::Submit(record.clone()), out);
        self.waiting.insert(id, Waiting::new(record, pool, now));
    }

    fn granted(&mut self, pool: &PoolId, grant: &Grant, out: &mut Vec<EntryAction>) {
        let id = grant.id;
        let Some(view) = self.owners.get(pool) else { return };
        if grant.epoch < view.epoch {
            let reason = RetryReason::StaleEpoch;
            self.tell(pool, PoolInput::GrantUnused { id, reason }, out);
            return;
        }
        let Some(waiting) = self.waiting.remove(&id) else {
            if !self.dispatched.contains_key(&id) {
                self.tell(pool, PoolInput::Withdraw(id), out);
            }
            return;
        };
        let runner = grant.runner.clone();
        self.tell(pool, PoolInput::Dispatched(id), out);
        self.dispatched.insert(id, waiting.dispatch(grant));
        out.push(EntryAction::Dispatch { id, pool: pool.clone(), runner });
    }

    fn owner_changed(
        &mut self,
        now: MonoTime,
        pool: PoolId,
        view: OwnerView,
        out: &mut Vec<EntryAction>,
    ) {
        if self.owners.get(&pool).is_some_and(|old| old.epoch > view.epoch) {
            return;
        }
        self.owners.insert(pool.clone(), view);
        let waiting = self.waiting.values().filter(|w| w.pool == pool);
        let mut inputs: Vec<_> = waiting
            .map(|w| {
                let age = now.since(w.arrived) + w.record.age;
                PoolInput::Submit(RequestRecord { age, ..w.record.clone() })
            })
            .collect();
        let in_progress = self.dispatched.values().filter(|d| d.pool == pool);
        inputs.extend(
            in_progress
                .map(|d| PoolInput::Adopt { record: d.record.clone(), runner: d.runner.clone() }),
        );
        for input in inputs {
            self.tell(&pool, input, out);
        }
    }

    fn tell(&self, pool: &PoolId, input: PoolInput, out: &mut Vec<EntryAction>) {
        let owner = self.owners.get(pool).and_then(|view| view.owner.clone());
        if let Some(owner) = owner {
            out.push(EntryAction::Tell { owner, pool: pool.clone(), input });
        }
    }
}
