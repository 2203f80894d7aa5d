//! Ranks and places the requests of the hosts that ask it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{HostId, RequestId, RunnerName, UpstreamName, WorkspaceName},
    outcome::{NotRunReason, RetryReason},
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    Decision, DispatchFailure, FleetConfig, PlacementReply, PlacementRequest, Quota,
    QuotaTolerance, Quotas, RequestUpdate, RetryBudget, RetryBudgetLimits, RunnerChange, Share,
    UpstreamScheduler,
};

/// Time after which a request comes again that found no retry left.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(500);

/// What is kept of an open request besides the ranking's own record.
#[derive(Clone, Debug)]
struct Open {
    host: HostId,
    upstream: UpstreamName,
    workspace: WorkspaceName,
    cost: f64,
    /// When the quota was charged.
    charged: MonoTime,
    granted: bool,
    /// True while the quota holds what it takes for when it is sent.
    reserved: bool,
}

#[derive(Clone, Debug)]
struct Ranked {
    ranking: UpstreamScheduler,
    budget: RetryBudget,
    /// Places of each runner, over all hosts, and whether it is leaving.
    runners: BTreeMap<RunnerName, (u32, bool)>,
}

/// Decides for the requests of the hosts that ask it.
#[derive(Clone, Debug)]
pub struct Coordinator {
    rule: RetryBudgetLimits,
    plan: Option<Arc<FleetConfig>>,
    upstreams: BTreeMap<UpstreamName, Ranked>,
    quotas: Quotas,
    open: BTreeMap<RequestId, Open>,
    asking: BTreeSet<HostId>,
    known_hosts: usize,
    share: Share,
}

impl Coordinator {
    /// A coordinator that knows of no runner and no other host.
    #[must_use]
    pub fn new(rule: RetryBudgetLimits, quotas: QuotaTolerance) -> Self {
        Self {
            rule,
            plan: None,
            upstreams: BTreeMap::new(),
            quotas: Quotas::new(quotas),
            open: BTreeMap::new(),
            asking: BTreeSet::new(),
            known_hosts: 1,
            share: Share::new(1, 1),
        }
    }

    /// Puts a configuration into force.
    pub fn set_config(&mut self, plan: Arc<FleetConfig>) {
        for (name, ranked) in &mut self.upstreams {
            ranked.ranking.set_engine(is_engine(&plan, name));
        }
        self.plan = Some(plan);
    }

    /// Hosts that the fleet has, for the share of those that ask.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.known_hosts = hosts;
        self.quotas.set_known_hosts(now, hosts);
        self.update_share();
    }

    /// This host asks its own coordinator from now on.
    pub fn local_host_joined(&mut self, now: MonoTime, me: HostId) {
        self.quotas.local_host_joined(now, me.clone());
        self.note_asking(me);
    }

    /// Another host asks this coordinator from now on.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.quotas.host_joined(now, host.clone());
        self.note_asking(host);
    }

    fn note_asking(&mut self, host: HostId) {
        if self.asking.insert(host) {
            self.update_share();
        }
    }

    /// A host has sent a sign of life. `sent` is a time of the host's own clock.
    pub fn host_heartbeat(&mut self, now: MonoTime, host: &HostId, sent: MonoTime) {
        self.quotas.host_heartbeat(now, host, sent);
    }

    /// A host is gone or asks another coordinator.
    pub fn host_left(
        &mut self,
        now: MonoTime,
        host: &HostId,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        if !self.asking.remove(host) {
            return;
        }
        let own = self.open.extract_if(.., |_, open| open.host == *host);
        for (_, open) in own.filter(|(_, open)| open.reserved) {
            self.quotas.release(now, &open.workspace, open.cost);
        }
        self.quotas.host_left(now, host);
        self.update_share();
        for upstream in self.names() {
            self.rank(now, &upstream, out, |ranking, decisions| {
                ranking.host_left(now, host, decisions);
            });
        }
    }

    /// Takes in what changed about runners, and then decides.
    pub fn apply_runner_changes(
        &mut self,
        now: MonoTime,
        news: &[RunnerChange],
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let mut changed = BTreeSet::new();
        for news in news {
            let entry = news.entry();
            let name = entry.key.name.clone();
            let share = self.share;
            let ranked = self.ranked(now, &entry.upstream);
            if let RunnerChange::Removed(_) = news {
                ranked.runners.remove(&name);
                ranked.ranking.remove_runner(&name);
            } else {
                ranked.runners.insert(name.clone(), (entry.slots, entry.leaving));
                ranked.ranking.set_runner(name, share.of_slots(entry.slots), entry.leaving);
            }
            changed.insert(&entry.upstream);
        }
        for upstream in changed {
            self.rank(now, upstream, out, |ranking, decisions| ranking.tick(now, decisions));
        }
    }

    /// Takes in what a host asks or reports.
    pub fn handle_update(
        &mut self,
        now: MonoTime,
        host: &HostId,
        ask: RequestUpdate,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        match ask {
            RequestUpdate::Submit(req) => self.place(now, host, *req, out),
            RequestUpdate::Adopt(req, runner) => {
                let PlacementRequest { record, upstream, cost, .. } = *req;
                self.note_open(now, host, &upstream, &record, cost, true);
                self.ranked(now, &upstream).ranking.adopt(now, record, runner);
            }
            RequestUpdate::Withdraw(id) => {
                if let Some(open) = self.close(now, id) {
                    self.rank(now, &open.upstream, out, |r, decisions| {
                        r.withdraw(now, id, decisions)
                    });
                }
            }
            RequestUpdate::Requeue(id, reason) => self.back(now, host, id, reason, out),
            RequestUpdate::FirstToken(id) => {
                let Some(open) = self.open.get(&id) else { return };
                if let Some(ranked) = self.upstreams.get_mut(&open.upstream) {
                    ranked.ranking.first_token(now, id);
                }
            }
            RequestUpdate::Ended(id, end) => {
                let Some(open) = self.open.remove(&id) else { return };
                self.rank(now, &open.upstream, out, |ranking, decisions| {
                    ranking.ended(now, id, end);
                    ranking.tick(now, decisions);
                });
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        for upstream in self.names() {
            self.rank(now, &upstream, out, |ranking, decisions| ranking.tick(now, decisions));
        }
    }

    /// When [`Coordinator::tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        self.upstreams.values().filter_map(|ranked| ranked.ranking.next_wake(now)).min()
    }

    /// Requests that wait, over all upstreams.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.upstreams.values().map(|ranked| ranked.ranking.waiting()).sum()
    }

    /// The rankings of all upstreams.
    pub fn schedulers(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamScheduler)> {
        self.upstreams.iter().map(|(name, ranked)| (name, &ranked.ranking))
    }

    /// The ranking of one upstream.
    #[must_use]
    pub fn scheduler(&self, upstream: &UpstreamName) -> Option<&UpstreamScheduler> {
        self.upstreams.get(upstream).map(|ranked| &ranked.ranking)
    }

    fn place(
        &mut self,
        now: MonoTime,
        host: &HostId,
        req: PlacementRequest,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let PlacementRequest { record, upstream, cost, time_limit, prior_attempts, avoid } = req;
        let (id, share) = (record.id, self.share);
        if self.open.contains_key(&id) {
            return;
        }
        if prior_attempts > 0 {
            if !self.ranked(now, &upstream).budget.take(now, share) {
                let reason = NotRunReason::TurnedAway;
                out.push((host.clone(), PlacementReply::Refuse(id, reason, TURNED_AWAY_RETRY)));
                return;
            }
        } else {
            let quota = self.quota(&record.workspace);
            if let Err(wait) = self.quotas.take(now, &record.workspace, quota, cost) {
                out.push((host.clone(), PlacementReply::Refuse(id, NotRunReason::OverQuota, wait)));
                return;
            }
            self.ranked(now, &upstream).budget.deposit(share);
        }
        self.note_open(now, host, &upstream, &record, cost, false);
        if let Some(open) = self.open.get_mut(&id) {
            open.reserved = prior_attempts == 0;
        }
        let left = time_limit.saturating_sub(record.age);
        self.rank(now, &upstream, out, |ranking, decisions| {
            ranking.submit(now, record, left, avoid, decisions);
        });
    }

    fn back(
        &mut self,
        now: MonoTime,
        host: &HostId,
        id: RequestId,
        reason: RetryReason,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let share = self.share;
        let Some(open) = self.open.get_mut(&id) else { return };
        open.granted = false;
        let upstream = open.upstream.clone();
        let failure = match reason {
            RetryReason::TurnedAway => Some(DispatchFailure::Full),
            RetryReason::ConnectRefused | RetryReason::ConnectTimeout => {
                Some(DispatchFailure::Broken)
            }
            _ => None,
        };
        // Only what arrived at a runner counts as a repeat.
        let arrived = reason == RetryReason::TurnedAway;
        if arrived && !self.ranked(now, &upstream).budget.take(now, share) {
            self.close(now, id);
            let reason = NotRunReason::TurnedAway;
            out.push((host.clone(), PlacementReply::Refuse(id, reason, TURNED_AWAY_RETRY)));
            self.rank(now, &upstream, out, |ranking, decisions| {
                ranking.requeue(now, id, failure, &mut Vec::new());
                ranking.withdraw(now, id, decisions);
            });
            return;
        }
        self.rank(now, &upstream, out, |ranking, decisions| {
            ranking.requeue(now, id, failure, decisions)
        });
    }

    fn note_open(
        &mut self,
        now: MonoTime,
        host: &HostId,
        upstream: &UpstreamName,
        record: &RequestRecord,
        cost: f64,
        granted: bool,
    ) {
        let (host, upstream) = (host.clone(), upstream.clone());
        let workspace = record.workspace.clone();
        let open = Open { host, upstream, workspace, cost, charged: now, granted, reserved: false };
        self.open.insert(record.id, open);
    }

    /// Forgets a request; what was not granted goes back to the quota.
    fn close(&mut self, now: MonoTime, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        if open.reserved {
            self.quotas.release(now, &open.workspace, open.cost);
        }
        if !open.granted {
            self.quotas.refund(now, &open.workspace, open.cost, open.charged);
        }
        Some(open)
    }

    fn quota(&self, workspace: &WorkspaceName) -> Quota {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.workspace(workspace)).map(|w| w.quota).unwrap_or_default()
    }

    fn names(&self) -> Vec<UpstreamName> {
        self.upstreams.keys().cloned().collect()
    }

    fn ranked(&mut self, now: MonoTime, upstream: &UpstreamName) -> &mut Ranked {
        let engine = self.plan.as_ref().is_some_and(|plan| is_engine(plan, upstream));
        let (rule, share) = (self.rule, self.share);
        self.upstreams.entry(upstream.clone()).or_insert_with(|| Ranked {
            ranking: UpstreamScheduler::new(engine),
            budget: RetryBudget::new(now, rule, share),
            runners: BTreeMap::new(),
        })
    }

    fn update_share(&mut self) {
        let share = Share::new(self.asking.len(), self.known_hosts);
        let before = std::mem::replace(&mut self.share, share);
        for ranked in self.upstreams.values_mut() {
            for (name, (slots, leaving)) in &ranked.runners {
                // Of hundreds of hosts that join, few change the rounded number of slots.
                let slots_now = share.of_slots(*slots);
                if slots_now != before.of_slots(*slots) {
                    ranked.ranking.set_runner(name.clone(), slots_now, *leaving);
                }
            }
        }
    }

    /// Lets a ranking decide, and passes its decisions on.
    fn rank<F>(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        out: &mut Vec<(HostId, PlacementReply)>,
        decide: F,
    ) where
        F: FnOnce(&mut UpstreamScheduler, &mut Vec<Decision>),
    {
        let Some(ranked) = self.upstreams.get_mut(upstream) else { return };
        let mut decisions = Vec::new();
        decide(&mut ranked.ranking, &mut decisions);
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
                Decision::Refuse(host, id, reason, after) => {
                    self.close(now, id);
                    out.push((host, PlacementReply::Refuse(id, reason, after)));
                }
            }
        }
    }
}

fn is_engine(plan: &FleetConfig, upstream: &UpstreamName) -> bool {
    plan.upstreams.get(upstream).is_some_and(|upstream| upstream.engine)
}
