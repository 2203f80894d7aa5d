//! Rollouts to another version: where requests go, and what their ends show.

use std::time::Duration;

use crate::{
    fleet::{Rollout, RolloutSample, RunnerVersion, Share, UpstreamUse},
    ids::{ClassName, RunnerName},
    request::{DispatchEnd, Usage},
    time::MonoTime,
};

use super::{
    UpstreamScheduler,
    queue::WaitingRequest,
    runner::{FIXED_FIRST_TOKEN_US, RunnerRequest},
    state::Granted,
};

/// Minimum number of generated tokens from which a decode time is compared.
const MIN_DECODE_SAMPLE: u32 = 6;

impl UpstreamScheduler {
    /// Sets the rollout of this upstream, if there is one.
    pub fn set_rollout(&mut self, rollout: Option<Rollout>) {
        self.rollout = rollout;
    }

    /// Returns the rollout of this upstream.
    #[must_use]
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Returns the rollout of this upstream, to tell it what the store says.
    pub fn rollout_mut(&mut self) -> Option<&mut Rollout> {
        self.rollout.as_mut()
    }

    /// Lets the rollout go on as time passes. `share` is this coordinator's share of what
    /// the canary may get, `is_majority` is true if it serves most hosts.
    pub fn update_rollout(&mut self, now: MonoTime, share: Share, is_majority: bool) {
        let Some(rollout) = &mut self.rollout else { return };
        for (_, runner) in self.runners.iter() {
            if let Some(version) = &runner.version {
                rollout.gate_mut().add_former(version);
            }
        }
        let is_former = |granted: &&Granted| {
            granted.served_by.is_some() && !rollout.is_target(granted.served_by.as_ref())
        };
        let at_former = self.granted.values().filter(is_former).count();
        rollout.set_share(share);
        rollout.update(now, UpstreamUse { at_former, is_majority });
    }

    /// Returns true if a runner of this version may get the request.
    pub(super) fn gate_accepts(
        &self,
        waiting: &WaitingRequest,
        version: Option<&RunnerVersion>,
    ) -> bool {
        let is_bound = waiting.version.is_some();
        let gate = self.rollout.as_ref().map(Rollout::gate);
        gate.is_none_or(|gate| gate.accepts(&waiting.record.class, version, is_bound))
    }

    /// Returns true if the rollout needs the request at a runner of this version.
    pub(super) fn gate_prefers(&self, class: &ClassName, version: Option<&RunnerVersion>) -> bool {
        let gate = self.rollout.as_ref().map(Rollout::gate);
        gate.is_some_and(|gate| gate.prefers(class, version))
    }

    /// Returns true if runners of this version get no requests.
    pub(super) fn gate_is_closed(&self, version: Option<&RunnerVersion>) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.gate().is_closed(version))
    }

    /// Returns true if a runner may accept requests of one class and not of another.
    pub(super) fn gate_tells_classes_apart(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.gate().tells_classes_apart())
    }

    /// Counts a grant at a runner of this version.
    pub(super) fn count_grant(&mut self, class: &ClassName, version: Option<&RunnerVersion>) {
        if let Some(rollout) = &mut self.rollout {
            rollout.gate_mut().granted(class, version);
        }
    }

    /// Takes back the count of a request that its runner did not run.
    pub(super) fn count_not_run(&mut self, granted: &Granted) {
        if let Some(rollout) = &mut self.rollout {
            rollout.gate_mut().not_run(&granted.record.class, granted.served_by.as_ref());
        }
    }

    /// Records a connection to a runner that failed.
    pub(super) fn record_rollout_break(&mut self, now: MonoTime, granted: &Granted) {
        self.record_rollout_sample(now, granted, RolloutSample::Broken);
    }

    /// Records how a request ended, `request` being what the runner's state knew of it.
    pub(super) fn record_rollout_end(
        &mut self,
        now: MonoTime,
        granted: &Granted,
        request: Option<&RunnerRequest>,
        end: &DispatchEnd,
    ) {
        if self.rollout.is_none() {
            return;
        }
        let first_us = self.mean_first_token_us(granted.record.prefill_tokens);
        let sample = match end {
            DispatchEnd::Complete(usage) if usage.failed => RolloutSample::Failed,
            DispatchEnd::Complete(usage) => {
                RolloutSample::Answered(self.relative_duration(usage, first_us))
            }
            DispatchEnd::Failed => RolloutSample::Broken,
            DispatchEnd::Cancelled => {
                let Some(request) = request.filter(|request| !request.prefilled) else { return };
                RolloutSample::Abandoned(micros(now.since(request.granted_at)) / first_us)
            }
        };
        self.record_rollout_sample(now, granted, sample);
    }

    fn record_rollout_sample(&mut self, now: MonoTime, granted: &Granted, sample: RolloutSample) {
        let Granted { record, runner, served_by, .. } = granted;
        if let Some(rollout) = &mut self.rollout {
            rollout.record(now, &record.class, runner, served_by.as_ref(), sample);
        }
    }

    /// Returns the time to the first token, or to a plain response, at an average runner.
    fn mean_first_token_us(&self, prompt: u32) -> f64 {
        let totals = self.runners.totals();
        match self.engine {
            true => FIXED_FIRST_TOKEN_US + totals.prefill_us * f64::from(prompt),
            false => totals.service_us,
        }
        .max(1.0)
    }

    /// Returns the duration of a response relative to that at an average runner: that of
    /// the first token or of the others, whichever is longer.
    fn relative_duration(&self, usage: &Usage, first_us: f64) -> f64 {
        if !self.engine {
            return micros(usage.total) / first_us;
        }
        let first = micros(usage.first_token) / first_us;
        if usage.decode_tokens < MIN_DECODE_SAMPLE {
            return first;
        }
        let decode_us = micros(usage.total.saturating_sub(usage.first_token));
        let per_token = decode_us / f64::from(usage.decode_tokens - 1);
        first.max(per_token / self.runners.totals().decode_us.max(1.0))
    }

    /// Returns the version of a runner.
    pub(super) fn runner_version(&self, name: &RunnerName) -> Option<RunnerVersion> {
        self.runners.get(name).and_then(|runner| runner.version.clone())
    }
}

fn micros(time: Duration) -> f64 {
    time.as_micros() as f64
}
