//! Rate limits of runners, enforced over all client hosts.

use std::time::Duration;

use crate::{
    fleet::{LimitReport, RunnerKey, RunnerLimits},
    ids::RunnerName,
    time::MonoTime,
};

use super::Coordinator;

/// Minimum rate at which a runner gets requests from all hosts together: only its
/// responses tell whether its limit still holds.
const MIN_PER_S: f64 = 0.2;

/// Time after which the limit of an unknown run is forgotten. Entries are missing from
/// the store for some seconds after its outages.
const UNKNOWN_RUN_MEMORY: Duration = Duration::from_secs(60);

impl Coordinator {
    /// Returns the limits that runners have named.
    #[must_use]
    pub fn limits(&self) -> &RunnerLimits {
        &self.limits
    }

    /// Applies what a response said of its runner's limit. Returns true if that changes
    /// the limit.
    pub fn apply_limit(&mut self, now: MonoTime, report: &LimitReport) -> bool {
        let is_changed = self.limits.apply(now, report);
        if is_changed {
            self.enforce_limit(now, &report.key.name);
        }
        is_changed
    }

    /// Sets what another host knows of a runner's limit. Returns true if that changes
    /// the limit.
    pub fn set_limit(&mut self, now: MonoTime, key: &RunnerKey, per_s: Option<f64>) -> bool {
        let is_changed = self.limits.set(now, key, per_s);
        if is_changed {
            self.enforce_limit(now, &key.name);
        }
        is_changed
    }

    /// Forgets the limits of runs that are no longer known.
    pub fn expire_limits(&mut self, now: MonoTime) {
        let upstreams = &self.upstreams;
        self.limits.retain(|limit| {
            let mut known = upstreams.values().filter_map(|s| s.runners.get(&limit.key.name));
            known.any(|known| known.key == limit.key)
                || now.since(limit.heard_at) < UNKNOWN_RUN_MEMORY
        });
    }

    /// Lets a runner's scheduler respect its limit, as far as this coordinator's share
    /// of it goes.
    pub(super) fn enforce_limit(&mut self, now: MonoTime, runner: &RunnerName) {
        let share = self.basis.budget_share();
        for state in self.upstreams.values_mut() {
            let Some(known) = state.runners.get(runner) else { continue };
            let limit = self.limits.of(&known.key);
            let per_s = limit.map(|limit| share.of(limit.per_s.max(MIN_PER_S)));
            state.scheduler.set_rate_limit(now, runner, per_s);
        }
    }

    pub(super) fn enforce_all_limits(&mut self, now: MonoTime) {
        let names: Vec<_> = self.limits.iter().map(|limit| limit.key.name.clone()).collect();
        names.iter().for_each(|name| self.enforce_limit(now, name));
    }
}
