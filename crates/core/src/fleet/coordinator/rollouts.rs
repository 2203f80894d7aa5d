//! Rollouts of upstreams, as operators order them and the store keeps them.
//!
//! Built for a fleet whose coordinator may change at any moment, and in which hosts may
//! decide for themselves: each coordinator lets the target version have its share of what
//! the canary may get, and finds a bad version from the responses to its own hosts. Only
//! the coordinator of most hosts completes a rollout.

use std::time::Duration;

use crate::{
    fleet::{
        PlacementReply, Rollout, RolloutLimits, RolloutOrder, RolloutProgress, RolloutState,
        RolloutStatus, RunnerVersion,
    },
    ids::{HostId, UpstreamName},
    time::MonoTime,
};

use super::Coordinator;

impl Coordinator {
    /// Sets the limits within which it rolls out versions. Without them it ignores orders.
    #[must_use]
    pub fn with_rollouts(mut self, limits: Option<RolloutLimits>) -> Self {
        self.rollout_limits = limits;
        self
    }

    /// Sets the order for an upstream, which was written `elapsed` ago, with what earlier
    /// coordinators have recorded of it. Without an order, a rollout ends.
    pub fn set_rollout_order(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        order: Option<RolloutOrder>,
        elapsed: Duration,
        progress: &RolloutProgress,
    ) {
        let Some(limits) = self.rollout_limits else { return };
        let scheduler = &mut self.upstream_state(upstream).scheduler;
        if scheduler.rollout().map(Rollout::order) == order.as_ref() {
            return;
        }
        let rollout = order.map(|order| Rollout::new(now - elapsed, order, limits, progress));
        scheduler.set_rollout(rollout);
    }

    /// Sets the state of an upstream's rollout in the store.
    pub fn set_rollout_status(&mut self, upstream: &UpstreamName, status: Option<&RolloutStatus>) {
        let state = self.upstreams.get_mut(upstream);
        if let Some(rollout) = state.and_then(|state| state.scheduler.rollout_mut()) {
            rollout.set_stored(status);
        }
    }

    /// Lets all rollouts go on as time passes, and schedules again.
    pub fn update_rollouts(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        let share = self.basis.budget_share();
        let is_majority = 2 * self.basis.clients > self.basis.known;
        for upstream in self.upstream_names() {
            let Some(state) = self.upstreams.get_mut(&upstream) else { continue };
            if state.scheduler.rollout().is_none() {
                continue;
            }
            state.scheduler.update_rollout(now, share, is_majority);
            self.step(now, &upstream, out, |scheduler, decisions| scheduler.tick(now, decisions));
        }
    }

    /// Returns all rollouts.
    pub fn rollouts(&self) -> impl Iterator<Item = (&UpstreamName, &Rollout)> {
        let states = self.upstreams.iter();
        states.filter_map(|(name, state)| Some((name, state.scheduler.rollout()?)))
    }

    /// Returns true if a rollout of the upstream was rolled back from this version.
    #[must_use]
    pub fn is_rolled_back(&self, upstream: &UpstreamName, version: Option<&RunnerVersion>) -> bool {
        let state = self.upstreams.get(upstream);
        let rollout = state.and_then(|state| state.scheduler.rollout());
        rollout.is_some_and(|rollout| {
            rollout.state() == RolloutState::RolledBack && rollout.is_target(version)
        })
    }
}
