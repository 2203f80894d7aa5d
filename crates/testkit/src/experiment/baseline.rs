//! Baseline policies: every entry sends each request at once to a runner that
//! it chooses itself. Requests are refused only if there is no runner.

use std::collections::BTreeMap;

use comfreyway_core::{
    ids::{Epoch, HostId, RequestId, RunnerName},
    outcome::NotRunReason,
    pool::{LoadReport, PoolAction, PoolInput},
    request::{Grant, RequestRecord},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::scheduler::Scheduler;

/// Rule by which a baseline chooses a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadBalancing {
    /// Runners in turn.
    RoundRobin,
    /// The runner that last reported the fewest running and queued sequences.
    LeastReported,
    /// The one of two random runners with fewer requests in progress from this
    /// entry.
    TwoChoices,
}

/// Request that was sent and has not ended.
#[derive(Debug)]
struct InProgress {
    record: RequestRecord,
    runner: RunnerName,
}

/// Baseline policy.
#[derive(Debug)]
pub(crate) struct Baseline {
    balancing: LoadBalancing,
    runners: BTreeMap<RunnerName, LoadReport>,
    /// Number of requests in progress from an entry at a runner.
    entry_load: BTreeMap<(HostId, RunnerName), u32>,
    in_progress: BTreeMap<RequestId, InProgress>,
    next: usize,
    rng: StdRng,
}

impl Baseline {
    /// Creates a baseline without runners.
    #[must_use]
    pub(crate) fn new(balancing: LoadBalancing, seed: u64) -> Self {
        Self {
            balancing,
            runners: BTreeMap::new(),
            entry_load: BTreeMap::new(),
            in_progress: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn grant(&mut self, record: RequestRecord, out: &mut Vec<PoolAction>) {
        let entry = record.entry.clone();
        let id = record.id;
        let Some(runner) = self.choose_runner(&entry) else {
            let reason = NotRunReason::NoRunner;
            let retry_after = std::time::Duration::from_secs(1);
            out.push(PoolAction::Refuse { entry, id, reason, retry_after });
            return;
        };
        *self.entry_load.entry((entry.clone(), runner.clone())).or_default() += 1;
        self.in_progress.insert(id, InProgress { record, runner: runner.clone() });
        let valid_for = std::time::Duration::from_secs(1);
        let grant = Grant { id, runner, epoch: Epoch::default(), valid_for };
        out.push(PoolAction::Grant { entry, grant });
    }

    fn choose_runner(&mut self, entry: &HostId) -> Option<RunnerName> {
        let names: Vec<&RunnerName> = self.runners.keys().collect();
        if names.is_empty() {
            return None;
        }
        self.next += 1;
        let count = names.len();
        let chosen = match self.balancing {
            LoadBalancing::RoundRobin => names[self.next % count],
            LoadBalancing::LeastReported => {
                let start = self.next;
                let rotated = (0..count).map(|n| names[(start + n) % count]);
                rotated
                    .min_by_key(|name| self.runners[*name].running + self.runners[*name].queued)?
            }
            LoadBalancing::TwoChoices => {
                let pair = [0, 1].map(|_| names[self.rng.random_range(0..count)]);
                let entry_load = |name: &RunnerName| {
                    self.entry_load.get(&(entry.clone(), name.clone())).copied().unwrap_or(0)
                };
                if entry_load(pair[0]) <= entry_load(pair[1]) { pair[0] } else { pair[1] }
            }
        };
        Some(chosen.clone())
    }

    fn remove(&mut self, id: RequestId) -> Option<RequestRecord> {
        let InProgress { record, runner } = self.in_progress.remove(&id)?;
        if let Some(entry_load) = self.entry_load.get_mut(&(record.entry.clone(), runner)) {
            *entry_load -= 1;
        }
        Some(record)
    }
}

impl Scheduler for Baseline {
    fn handle(&mut self, _now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        match input {
            PoolInput::Submit(record) => self.grant(record, out),
            PoolInput::GrantUnused { id, .. } => {
                if let Some(record) = self.remove(id) {
                    self.grant(record, out);
                }
            }
            PoolInput::Ended { id, .. } => {
                self.remove(id);
            }
            PoolInput::RunnerUpdated(spec) => {
                self.runners.insert(spec.name, LoadReport::default());
            }
            PoolInput::RunnerRemoved(name) | PoolInput::RunnerLeaving(name) => {
                self.runners.remove(&name);
            }
            PoolInput::Load { runner, report } => {
                if let Some(last) = self.runners.get_mut(&runner) {
                    *last = report;
                }
            }
            PoolInput::Adopt { .. }
            | PoolInput::Cache { .. }
            | PoolInput::Dispatched(_)
            | PoolInput::EntryDown(_)
            | PoolInput::FirstToken(_)
            | PoolInput::Tick
            | PoolInput::Withdraw(_) => {}
        }
    }
}
