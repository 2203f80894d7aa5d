//! What a scheduler is told of its runners.

use std::time::Duration;

use crate::{
    fleet::{RunnerLoad, RunnerVersion},
    ids::{HostId, RunnerName},
    time::MonoTime,
};

use super::{RunnerState, UpstreamScheduler};

impl UpstreamScheduler {
    /// Returns the runners by name.
    pub fn runners(&self) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        self.runners.iter()
    }

    /// Returns true if two runners accept requests and none of their last ones failed.
    pub(crate) fn can_spare_runner(&self, now: MonoTime) -> bool {
        let sound = self.runners.iter().filter(|(_, r)| r.is_usable(now) && r.failures == 0);
        sound.take(2).count() == 2
    }

    /// Adds a runner or updates its slots and state.
    pub fn set_runner(&mut self, name: RunnerName, slots: u32, leaving: bool) {
        self.runners.set(name, slots, leaving);
    }

    /// Sets the software version of a runner.
    pub fn set_version(&mut self, name: &RunnerName, version: Option<RunnerVersion>) {
        let is_other = self.runners.get(name).is_some_and(|runner| runner.version != version);
        if is_other {
            self.prompts.forget(name);
        }
        self.runners.update(name, |runner| runner.version = version);
    }

    /// Sets the requests a second that a runner gets at most.
    pub fn set_rate_limit(&mut self, now: MonoTime, name: &RunnerName, per_s: Option<f64>) {
        self.runners.set_rate_limit(now, name, per_s);
    }

    /// Returns true if a runner of this version accepts requests.
    #[must_use]
    pub fn serves_version(&self, version: &RunnerVersion) -> bool {
        let mut runners = self.runners.iter();
        !self.gate_is_closed(Some(version))
            && runners
                .any(|(_, runner)| !runner.leaving && runner.version.as_ref() == Some(version))
    }

    /// Returns the software version of a runner, if it is known.
    #[must_use]
    pub fn version_of(&self, name: &RunnerName) -> Option<&RunnerVersion> {
        self.runners.get(name).and_then(|runner| runner.version.as_ref())
    }

    /// Removes a runner.
    pub fn remove_runner(&mut self, name: &RunnerName) {
        self.prompts.forget(name);
        self.runners.remove(name);
    }

    /// Forgets what a runner holds of prompts, because it has started again.
    pub fn forget_prompts(&mut self, name: &RunnerName) {
        self.prompts.forget(name);
    }

    /// Sets the tokens that a runner holds in memory; none if it keeps no beginnings of
    /// prompts.
    pub fn set_prompt_memory(&mut self, tokens: Option<u32>) {
        self.prompts.set_capacity(tokens);
    }

    /// Sets what [`UpstreamScheduler::set_prompt_memory`] does.
    #[must_use]
    pub fn with_prompt_memory(mut self, tokens: Option<u32>) -> Self {
        self.set_prompt_memory(tokens);
        self
    }

    /// Records what a runner said of its load.
    pub fn set_runner_load(&mut self, now: MonoTime, name: &RunnerName, load: RunnerLoad) {
        self.runners.update(name, |runner| runner.set_load(now, load));
    }

    /// Sends a runner no requests of `host` for a while, as the runner asked.
    pub fn rest_runner(&mut self, now: MonoTime, name: &RunnerName, host: HostId, time: Duration) {
        let until = now + time;
        self.hosts_differ_until = self.hosts_differ_until.max(until);
        self.runners.update(name, |runner| runner.rest(now, host, until));
    }
}
