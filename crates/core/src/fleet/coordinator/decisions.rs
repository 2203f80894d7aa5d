//! Decisions of the schedulers, forwarded to the hosts.

use crate::{
    fleet::{Decision, PlacementReply, RunnerVersion, UpstreamScheduler},
    ids::{HostId, RequestId, RunnerName, UpstreamName},
    time::MonoTime,
};

use super::{Coordinator, requests::Retry};

impl Coordinator {
    /// Runs a step of an upstream's scheduler and forwards its decisions.
    pub(super) fn step<F>(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        out: &mut Vec<(HostId, PlacementReply)>,
        action: F,
    ) where
        F: FnOnce(&mut UpstreamScheduler, &mut Vec<Decision>),
    {
        let Some(state) = self.upstreams.get_mut(upstream) else { return };
        let mut decisions = Vec::new();
        action(&mut state.scheduler, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Grant(host, id, runner) => {
                    let version = self.record_grant(now, upstream, id, &runner);
                    out.push((host, PlacementReply::Grant(id, runner, version)));
                }
                Decision::Refuse(host, id, reason, retry_after) => {
                    self.remove_open(now, id);
                    out.push((host, PlacementReply::Refuse(id, reason, retry_after)));
                }
            }
        }
    }

    /// Records a grant. Returns the runner's version if the request is bound to a
    /// stream.
    fn record_grant(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        id: RequestId,
        runner: &RunnerName,
    ) -> Option<RunnerVersion> {
        let open = self.open.get_mut(&id)?;
        open.granted = true;
        open.dispatch = Some((runner.clone(), now));
        if open.retry == Retry::Waiting {
            open.retry = Retry::Sent;
            let state = self.upstreams.get_mut(upstream);
            if let Some(budget) = state.and_then(|state| state.budget.as_mut()) {
                budget.sent();
            }
        }
        if std::mem::take(&mut open.reserved) {
            self.quotas.release(now, &open.workspace, open.cost);
        }
        let stream = open.stream.as_mut()?;
        let scheduler = self.upstreams.get(upstream).map(|state| &state.scheduler);
        stream.version = scheduler.and_then(|scheduler| scheduler.version_of(runner)).cloned();
        stream.version.clone()
    }
}
