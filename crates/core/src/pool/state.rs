//! State and decisions of a pool owner.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{RequestId, RunnerName, Tier},
    outcome::NotRunReason,
    request::{Grant, RequestRecord},
    time::MonoTime,
};

use super::{PoolAction, PoolInput, PoolSettings, runner::Runner};

/// Time after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    record: RequestRecord,
    deadline: MonoTime,
}

/// The owner's view of one pool.
pub struct Pool {
    settings: PoolSettings,
    runners: BTreeMap<RunnerName, Runner>,
    queues: BTreeMap<Tier, VecDeque<RequestId>>,
    waiting: BTreeMap<RequestId, Waiting>,
    granted: BTreeMap<RequestId, (RunnerName, RequestRecord)>,
}

impl Pool {
    /// An owner without runners or requests.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            runners: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    /// Settings that the owner was made with.
    #[must_use]
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of granted requests whose end is not known yet.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.granted.len()
    }

    /// Decides on one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        match input {
            PoolInput::Submit(record) => self.submit(now, record, out),
            PoolInput::Withdraw(id) => {
                self.waiting.remove(&id);
                self.release(id);
            }
            PoolInput::GrantUnused { id, .. } => self.requeue(now, id),
            PoolInput::Dispatched(_) | PoolInput::FirstToken(_) => {}
            PoolInput::Ended { id, .. } => {
                self.release(id);
            }
            PoolInput::Adopt { record, runner } => self.adopt(record, runner),
            PoolInput::EntryGone(entry) => self.waiting.retain(|_, w| w.record.entry != entry),
            PoolInput::RunnerUp(spec) => match self.runners.get_mut(&spec.name) {
                Some(runner) => {
                    runner.spec = spec;
                    runner.leaving = false;
                }
                None => {
                    self.runners.insert(spec.name.clone(), Runner::new(spec));
                }
            },
            PoolInput::RunnerLeaving(name) => {
                if let Some(runner) = self.runners.get_mut(&name) {
                    runner.leaving = true;
                }
            }
            PoolInput::RunnerGone(name) => {
                self.runners.remove(&name);
            }
            PoolInput::Load { .. } | PoolInput::Cache { .. } | PoolInput::Tick => {}
        }
        self.expire(now, out);
        self.grant(out);
        if let Some(next) = self.waiting.values().map(|w| w.deadline).min() {
            out.push(PoolAction::SetTimer(next));
        }
    }

    fn submit(&mut self, now: MonoTime, record: RequestRecord, out: &mut Vec<PoolAction>) {
        if self.waiting.contains_key(&record.id) || self.granted.contains_key(&record.id) {
            return;
        }
        if self.waiting.len() >= self.settings.max_waiting {
            out.push(refuse(&record, NotRunReason::QueueFull));
            return;
        }
        let left = record.target.limit().saturating_sub(record.age);
        let deadline = now + left;
        self.queues.entry(record.tier).or_default().push_back(record.id);
        self.waiting.insert(record.id, Waiting { record, deadline });
    }

    fn release(&mut self, id: RequestId) -> Option<RequestRecord> {
        let (name, record) = self.granted.remove(&id)?;
        if let Some(runner) = self.runners.get_mut(&name) {
            runner.in_progress.remove(&id);
        }
        Some(record)
    }

    fn requeue(&mut self, now: MonoTime, id: RequestId) {
        if let Some(record) = self.release(id) {
            let left = record.target.limit().saturating_sub(record.age);
            self.queues.entry(record.tier).or_default().push_front(id);
            self.waiting.insert(id, Waiting { record, deadline: now + left });
        }
    }

    fn adopt(&mut self, record: RequestRecord, name: RunnerName) {
        self.waiting.remove(&record.id);
        if let Some(runner) = self.runners.get_mut(&name) {
            runner.in_progress.insert(record.id);
        }
        self.granted.insert(record.id, (name, record));
    }

    fn expire(&mut self, now: MonoTime, out: &mut Vec<PoolAction>) {
        let late = |w: &Waiting| w.deadline <= now;
        let expired = self.waiting.values().filter(|w| late(w));
        out.extend(expired.map(|w| refuse(&w.record, NotRunReason::TargetUnreachable)));
        self.waiting.retain(|_, w| !late(w));
    }

    fn grant(&mut self, out: &mut Vec<PoolAction>) {
        for queue in self.queues.values_mut() {
            while let Some(&id) = queue.front() {
                if !self.waiting.contains_key(&id) {
                    queue.pop_front();
                    continue;
                }
                let free = self.runners.values_mut().filter(|r| r.has_room());
                let Some(runner) = free.min_by_key(|r| r.in_progress.len()) else { return };
                queue.pop_front();
                let Some(waiting) = self.waiting.remove(&id) else { continue };
                runner.in_progress.insert(id);
                let name = runner.spec.name.clone();
                let grant = Grant {
                    id,
                    runner: name.clone(),
                    epoch: self.settings.epoch,
                    valid_for: self.settings.grant_lifetime,
                };
                out.push(PoolAction::Grant { entry: waiting.record.entry.clone(), grant });
                self.granted.insert(id, (name, waiting.record));
            }
        }
    }
}

fn refuse(record: &RequestRecord, reason: NotRunReason) -> PoolAction {
    let entry = record.entry.clone();
    PoolAction::Refuse { entry, id: record.id, reason, retry_after: RETRY_AFTER }
}
