//! Changes of runners, from the store and from what runners say.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fleet::{PlacementReply, RunnerChange, RunnerLoad},
    ids::{HostId, RunnerName},
    time::MonoTime,
};

use super::{Coordinator, KnownRunner};

impl Coordinator {
    /// Applies changes of runners and schedules again.
    pub fn apply_runner_changes(
        &mut self,
        now: MonoTime,
        changes: &[RunnerChange],
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let mut upstreams = BTreeSet::new();
        let keep_until = self.retention.keep_until(now);
        for change in changes {
            let entry = change.entry();
            let name = entry.key.name.clone();
            let share = self.basis.slot_share();
            self.record_ended_runs(change);
            let state = self.upstream_state(&entry.upstream);
            if let RunnerChange::Removed(_) = change {
                state.runners.remove(&name);
                state.history.runner_removed(now, &name, keep_until);
                state.scheduler.remove_runner(&name);
            } else {
                let known = KnownRunner {
                    key: entry.key.clone(),
                    address: entry.address,
                    slots: entry.slots,
                    leaving: entry.leaving,
                };
                let former = state.runners.insert(name.clone(), known);
                let started_again = former.is_some_and(|former| former.key != entry.key);
                let slots = share.of_slots(entry.slots);
                if started_again {
                    state.scheduler.forget_prompts(&name);
                }
                let version = entry.version.clone();
                state.history.runner_present(now, &name, version, keep_until);
                state.scheduler.set_runner(name.clone(), slots, entry.leaving);
                state.scheduler.set_version(&name, entry.version.clone());
                if self.limits.of(&entry.key).is_some() {
                    self.enforce_limit(now, &name);
                }
            }
            upstreams.insert(&entry.upstream);
        }
        for upstream in upstreams {
            self.step(now, upstream, out, |scheduler, decisions| scheduler.tick(now, decisions));
        }
        self.update_trials(now, out);
    }

    /// Sends a runner no requests of `host` for a while, as the runner asked.
    pub fn rest_runner(
        &mut self,
        now: MonoTime,
        host: &HostId,
        runner: &RunnerName,
        time: Duration,
    ) {
        for state in self.upstreams.values_mut() {
            if state.runners.contains_key(runner) {
                state.scheduler.rest_runner(now, runner, host.clone(), time);
            }
        }
    }

    /// Records what a runner said of its load.
    pub fn set_runner_load(&mut self, now: MonoTime, runner: &RunnerName, load: RunnerLoad) {
        for state in self.upstreams.values_mut() {
            if state.runners.contains_key(runner) {
                state.scheduler.set_runner_load(now, runner, load);
            }
        }
    }
}
