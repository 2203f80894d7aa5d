//! Schedules the requests of all client hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{HostId, RequestId, RunnerName, UpstreamName, WorkspaceName},
    time::MonoTime,
};

use super::{
    Decision, FleetConfig, PlacementReply, PlacementRequest, Quota, QuotaTolerance, Quotas,
    RequestUpdate, RetryBudget, RetryBudgetLimits, RunnerChange, Share, ShareBasis,
    UpstreamScheduler,
};

mod requests;

use self::requests::HostRequest;

#[derive(Clone, Debug)]
struct UpstreamState {
    scheduler: UpstreamScheduler,
    budget: RetryBudget,
    /// Slots of each runner, over all hosts, and whether it is leaving.
    runners: BTreeMap<RunnerName, (u32, bool)>,
}

/// Schedules the requests of its client hosts, within quotas and retry budgets.
#[derive(Clone, Debug)]
pub struct Coordinator {
    retry_limits: RetryBudgetLimits,
    config: Option<Arc<FleetConfig>>,
    upstreams: BTreeMap<UpstreamName, UpstreamState>,
    quotas: Quotas,
    open: BTreeMap<RequestId, HostRequest>,
    clients: BTreeSet<HostId>,
    known_hosts: usize,
    absent_hosts: usize,
    share: Share,
}

impl Coordinator {
    /// Creates a coordinator without runners and hosts.
    #[must_use]
    pub fn new(retry_limits: RetryBudgetLimits, quotas: QuotaTolerance) -> Self {
        Self {
            retry_limits,
            config: None,
            upstreams: BTreeMap::new(),
            quotas: Quotas::new(quotas),
            open: BTreeMap::new(),
            clients: BTreeSet::new(),
            known_hosts: 1,
            absent_hosts: 0,
            share: Share::new(1, 1),
        }
    }

    /// Applies a configuration.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        for (name, state) in &mut self.upstreams {
            state.scheduler.set_engine(is_engine(&config, name));
        }
        self.config = Some(config);
    }

    /// Sets the number of hosts in the fleet, from which the share is computed.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.known_hosts = hosts;
        self.quotas.set_known_hosts(now, hosts);
        self.update_share();
    }

    /// Sets the number of known hosts that are probably down. Their share of the
    /// runners' slots and of the retry budget is used, but not that of the quotas.
    pub fn set_absent_hosts(&mut self, hosts: usize) {
        if std::mem::replace(&mut self.absent_hosts, hosts) != hosts {
            self.update_share();
        }
    }

    /// Returns the hosts from which the shares are computed.
    #[must_use]
    pub fn share_basis(&self) -> ShareBasis {
        let Self { known_hosts: known, absent_hosts: absent, .. } = *self;
        ShareBasis { clients: self.clients.len(), known, absent }
    }

    /// Adds the local host as a client.
    pub fn local_host_joined(&mut self, now: MonoTime, me: HostId) {
        self.quotas.local_host_joined(now, me.clone());
        self.add_client(me);
    }

    /// Adds another host as a client.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.quotas.host_joined(now, host.clone());
        self.add_client(host);
    }

    fn add_client(&mut self, host: HostId) {
        if self.clients.insert(host) {
            self.update_share();
        }
    }

    /// Records a host's heartbeat. `sent` is a time of the host's own clock.
    pub fn host_heartbeat(&mut self, now: MonoTime, host: &HostId, sent: MonoTime) {
        self.quotas.host_heartbeat(now, host, sent);
    }

    /// Removes a host whose session ended or that uses another coordinator.
    pub fn host_left(
        &mut self,
        now: MonoTime,
        host: &HostId,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        if !self.clients.remove(host) {
            return;
        }
        let removed = self.open.extract_if(.., |_, open| open.host == *host);
        for (_, open) in removed.filter(|(_, open)| open.reserved) {
            self.quotas.release(now, &open.workspace, open.cost);
        }
        self.quotas.host_left(now, host);
        self.update_share();
        for upstream in self.upstream_names() {
            self.step(now, &upstream, out, |scheduler, decisions| {
                scheduler.host_left(now, host, decisions);
            });
        }
    }

    /// Applies changes of runners and schedules again.
    pub fn apply_runner_changes(
        &mut self,
        now: MonoTime,
        changes: &[RunnerChange],
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let mut upstreams = BTreeSet::new();
        for change in changes {
            let entry = change.entry();
            let name = entry.key.name.clone();
            let share = self.share;
            let state = self.upstream_state(now, &entry.upstream);
            if let RunnerChange::Removed(_) = change {
                state.runners.remove(&name);
                state.scheduler.remove_runner(&name);
            } else {
                state.runners.insert(name.clone(), (entry.slots, entry.leaving));
                state.scheduler.set_runner(name, share.of_slots(entry.slots), entry.leaving);
            }
            upstreams.insert(&entry.upstream);
        }
        for upstream in upstreams {
            self.step(now, upstream, out, |scheduler, decisions| scheduler.tick(now, decisions));
        }
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

    /// Handles an update from a client host.
    pub fn handle_update(
        &mut self,
        now: MonoTime,
        host: &HostId,
        update: RequestUpdate,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        match update {
            RequestUpdate::Submit(req) => self.submit(now, host, *req, out),
            RequestUpdate::Adopt(req, runner) => {
                let PlacementRequest { record, upstream, cost, time_limit, .. } = *req;
                self.record_open(host, &upstream, &record, cost, true);
                let time_left = time_limit.saturating_sub(record.age);
                let scheduler = &mut self.upstream_state(now, &upstream).scheduler;
                scheduler.adopt(now, record, time_left, runner);
            }
            RequestUpdate::Withdraw(id) => {
                if let Some(open) = self.remove_open(now, id) {
                    self.step(now, &open.upstream, out, |scheduler, decisions| {
                        scheduler.withdraw(now, id, decisions)
                    });
                }
            }
            RequestUpdate::Requeue(id, reason) => self.requeue(now, host, id, reason, out),
            RequestUpdate::FirstToken(id) => {
                let Some(open) = self.open.get(&id) else { return };
                if let Some(state) = self.upstreams.get_mut(&open.upstream) {
                    state.scheduler.first_token(now, id);
                }
            }
            RequestUpdate::Ended(id, end) => {
                let Some(open) = self.open.remove(&id) else { return };
                self.step(now, &open.upstream, out, |scheduler, decisions| {
                    scheduler.ended(now, id, end);
                    scheduler.tick(now, decisions);
                });
            }
        }
    }

    /// Schedules again and refuses requests that have waited too long.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        for upstream in self.upstream_names() {
            self.step(now, &upstream, out, |scheduler, decisions| scheduler.tick(now, decisions));
        }
    }

    /// Returns when [`Coordinator::tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        self.upstreams.values().filter_map(|state| state.scheduler.next_wake(now)).min()
    }

    /// Returns the number of waiting requests of all upstreams.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.upstreams.values().map(|state| state.scheduler.waiting()).sum()
    }

    /// Returns the schedulers of all upstreams.
    pub fn schedulers(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamScheduler)> {
        self.upstreams.iter().map(|(name, state)| (name, &state.scheduler))
    }

    /// Returns the scheduler of one upstream.
    #[must_use]
    pub fn scheduler(&self, upstream: &UpstreamName) -> Option<&UpstreamScheduler> {
        self.upstreams.get(upstream).map(|state| &state.scheduler)
    }

    fn quota(&self, workspace: &WorkspaceName) -> Quota {
        let config = self.config.as_ref();
        config.and_then(|config| config.workspace(workspace)).map(|w| w.quota).unwrap_or_default()
    }

    fn upstream_names(&self) -> Vec<UpstreamName> {
        self.upstreams.keys().cloned().collect()
    }

    fn upstream_state(&mut self, now: MonoTime, upstream: &UpstreamName) -> &mut UpstreamState {
        let engine = self.config.as_ref().is_some_and(|config| is_engine(config, upstream));
        let (retry_limits, share) = (self.retry_limits, self.share);
        self.upstreams.entry(upstream.clone()).or_insert_with(|| UpstreamState {
            scheduler: UpstreamScheduler::new(engine),
            budget: RetryBudget::new(now, retry_limits, share),
            runners: BTreeMap::new(),
        })
    }

    fn update_share(&mut self) {
        let present = self.known_hosts.saturating_sub(self.absent_hosts);
        let share = Share::new(self.clients.len(), present);
        let before = std::mem::replace(&mut self.share, share);
        for state in self.upstreams.values_mut() {
            for (name, (slots, leaving)) in &state.runners {
                // Most hosts that join don't change the rounded number of slots.
                let slots_now = share.of_slots(*slots);
                if slots_now != before.of_slots(*slots) {
                    state.scheduler.set_runner(name.clone(), slots_now, *leaving);
                }
            }
        }
    }

    /// Runs a step of an upstream's scheduler and forwards its decisions.
    fn step<F>(
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
                    if let Some(open) = self.open.get_mut(&id) {
                        open.granted = true;
                        if std::mem::take(&mut open.reserved) {
                            self.quotas.release(now, &open.workspace, open.cost);
                        }
                    }
                    out.push((host, PlacementReply::Grant(id, runner)));
                }
                Decision::Refuse(host, id, reason, retry_after) => {
                    self.remove_open(now, id);
                    out.push((host, PlacementReply::Refuse(id, reason, retry_after)));
                }
            }
        }
    }
}

fn is_engine(config: &FleetConfig, upstream: &UpstreamName) -> bool {
    config.upstreams.get(upstream).is_some_and(|upstream| upstream.engine)
}
