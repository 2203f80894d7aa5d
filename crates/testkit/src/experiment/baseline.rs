//! Baselines: every entry sends each request at once, to a runner that it
//! chooses by itself. They keep no order and refuse nothing.

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

/// How a baseline chooses a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    /// One after the other.
    RoundRobin,
    /// The least running and queued sequences in the last report.
    LeastReported,
    /// The less loaded of two random runners, by what this entry has sent.
    TwoChoices,
}

/// A request that was sent and has not ended.
#[derive(Debug)]
struct Sent {
    record: RequestRecord,
    runner: RunnerName,
}

/// A baseline.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: Choice,
    runners: BTreeMap<RunnerName, LoadReport>,
    own: BTreeMap<(HostId, RunnerName), u32>,
    sent: BTreeMap<RequestId, Sent>,
    next: usize,
    rng: StdRng,
}

impl Baseline {
    /// A baseline without runners.
    #[must_use]
    pub(crate) fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            runners: BTreeMap::new(),
            own: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn send(&mut self, record: RequestRecord, out: &mut Vec<PoolAction>) {
        let entry = record.entry.clone();
        let id = record.id;
        let Some(runner) = self.choose(&entry) else {
            let reason = NotRunReason::NoRunner;
            let retry_after = std::time::Duration::from_secs(1);
            out.push(PoolAction::Refuse { entry, id, reason, retry_after });
            return;
        };
        *self.own.entry((entry.clone(), runner.clone())).or_default() += 1;
        self.sent.insert(id, Sent { record, runner: runner.clone() });
        let valid_for = std::time::Duration::from_secs(1);
        let grant = Grant { id, runner, epoch: Epoch::default(), valid_for };
        out.push(PoolAction::Grant { entry, grant });
    }

    fn choose(&mut self, entry: &HostId) -> Option<RunnerName> {
        let names: Vec<&RunnerName> = self.runners.keys().collect();
        if names.is_empty() {
            return None;
        }
        self.next += 1;
        let count = names.len();
        let chosen = match self.choice {
            Choice::RoundRobin => names[self.next % count],
            Choice::LeastReported => {
                let start = self.next;
                let rotated = (0..count).map(|n| names[(start + n) % count]);
                rotated
                    .min_by_key(|name| self.runners[*name].running + self.runners[*name].queued)?
            }
            Choice::TwoChoices => {
                let pair = [0, 1].map(|_| names[self.rng.random_range(0..count)]);
                let own = |name: &RunnerName| {
                    self.own.get(&(entry.clone(), name.clone())).copied().unwrap_or(0)
                };
                if own(pair[0]) <= own(pair[1]) { pair[0] } else { pair[1] }
            }
        };
        Some(chosen.clone())
    }

    fn end(&mut self, id: RequestId) -> Option<RequestRecord> {
        let Sent { record, runner } = self.sent.remove(&id)?;
        if let Some(own) = self.own.get_mut(&(record.entry.clone(), runner)) {
            *own -= 1;
        }
        Some(record)
    }
}

impl Scheduler for Baseline {
    fn handle(&mut self, _now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        match input {
            PoolInput::Submit(record) => self.send(record, out),
            PoolInput::GrantUnused { id, .. } => {
                if let Some(record) = self.end(id) {
                    self.send(record, out);
                }
            }
            PoolInput::Ended { id, .. } => {
                self.end(id);
            }
            PoolInput::RunnerUpdated(spec) => {
                self.runners.insert(spec.name, LoadReport::default());
            }
            PoolInput::RunnerRemoved(name) | PoolInput::RunnerLeaving(name) => {
                self.runners.remove(&name);
            }
            PoolInput::Load { runner, report } => {
                if let Some(known) = self.runners.get_mut(&runner) {
                    *known = report;
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
