//! The entry and the owned pools of one host, without input or output.
//!
//! An input to one of them may cause an action that is an input to another:
//! an entry submits to a pool, and the pool grants to the entry. This module
//! runs those steps to their end and returns what has to leave the thread.

use std::collections::{BTreeMap, VecDeque};

use comfreyway_core::{
    entry::{Entry, EntryAction, EntryInput},
    ids::{Epoch, HostId, PoolId},
    pool::{Pool, PoolAction, PoolInput, PoolSettings},
    time::MonoTime,
};

use super::{Effect, RemoteInput};

/// One input that has not been decided on yet.
enum Step {
    Entry(EntryInput),
    Pool(PoolId, PoolInput),
}

/// The entry and the owned pools of one host.
pub(crate) struct Decisions {
    host: HostId,
    entry: Entry,
    pools: BTreeMap<PoolId, Pool>,
    steps: VecDeque<Step>,
    entry_actions: Vec<EntryAction>,
    pool_actions: Vec<PoolAction>,
}

impl Decisions {
    /// Decisions of a host that owns no pool yet.
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            entry: Entry::new(host.clone()),
            host,
            pools: BTreeMap::new(),
            steps: VecDeque::new(),
            entry_actions: Vec::new(),
            pool_actions: Vec::new(),
        }
    }

    /// The entry of this host.
    pub(crate) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The pools that this host owns.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Starts to own a pool under `epoch`. Replaces an earlier term.
    pub(crate) fn own(&mut self, pool: &PoolId, epoch: Epoch) {
        let settings = PoolSettings::new(pool.clone(), epoch);
        self.pools.insert(pool.clone(), Pool::new(settings));
    }

    /// Ceases to own a pool.
    pub(crate) fn disown(&mut self, pool: &PoolId) {
        self.pools.remove(pool);
    }

    /// Decides on an input for the entry.
    pub(crate) fn entry_input(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<Effect>) {
        self.steps.push_back(Step::Entry(input));
        self.run(now, out);
    }

    /// Decides on an input for an owned pool. Ignored if the pool is not owned.
    pub(crate) fn pool_input(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        input: PoolInput,
        out: &mut Vec<Effect>,
    ) {
        self.steps.push_back(Step::Pool(pool.clone(), input));
        self.run(now, out);
    }

    /// Lets time pass for the entry and for every owned pool.
    pub(crate) fn tick(&mut self, now: MonoTime, out: &mut Vec<Effect>) {
        self.steps.push_back(Step::Entry(EntryInput::Tick));
        let pools = self.pools.keys().cloned();
        self.steps.extend(pools.map(|pool| Step::Pool(pool, PoolInput::Tick)));
        self.run(now, out);
    }

    fn run(&mut self, now: MonoTime, out: &mut Vec<Effect>) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Entry(input) => self.step_entry(now, input, out),
                Step::Pool(pool, input) => self.step_pool(now, pool, input, out),
            }
        }
    }

    fn step_entry(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<Effect>) {
        let mut actions = std::mem::take(&mut self.entry_actions);
        self.entry.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            match action {
                EntryAction::Tell { owner, pool, input } if owner == self.host => {
                    self.steps.push_back(Step::Pool(pool, input));
                }
                EntryAction::Tell { owner, pool, input } => {
                    out.push(Effect::Remote { to: owner, input: RemoteInput::Pool(pool, input) });
                }
                EntryAction::Dispatch { id, pool, runner } => {
                    out.push(Effect::Dispatch { id, pool, runner });
                }
                EntryAction::AnswerNotRun { id, reason, retry_after } => {
                    out.push(Effect::NotRun { id, reason, retry_after });
                }
                EntryAction::SetTimer(at) => out.push(Effect::WakeAt(at)),
            }
        }
        self.entry_actions = actions;
    }

    fn step_pool(&mut self, now: MonoTime, id: PoolId, input: PoolInput, out: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get_mut(&id) else { return };
        let epoch = pool.settings().epoch;
        let mut actions = std::mem::take(&mut self.pool_actions);
        pool.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            let (entry, input) = match action {
                PoolAction::Grant { entry, grant } => {
                    (entry, EntryInput::Granted { pool: id.clone(), grant })
                }
                PoolAction::Refuse { entry, id, reason, retry_after } => {
                    (entry, EntryInput::Refused { epoch, id, reason, retry_after })
                }
                PoolAction::SetTimer(at) => {
                    out.push(Effect::WakeAt(at));
                    continue;
                }
            };
            if entry == self.host {
                self.steps.push_back(Step::Entry(input));
            } else {
                out.push(Effect::Remote { to: entry, input: RemoteInput::Entry(input) });
            }
        }
        self.pool_actions = actions;
    }
}
