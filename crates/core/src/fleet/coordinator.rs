//! Ranks and places the requests of the hosts that ask it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{Epoch, HostId, PoolId, RegionName, RequestId, RunnerName, UpstreamName, WorkspaceName},
    outcome::NotRunReason,
    pool::{Pool, PoolAction, PoolInput, PoolSettings, RunnerSpec},
    time::MonoTime,
};

use super::{
    Ask, Plan, Question, Quota, Quotas, RetryBudget, RetryRule, RunnerEntry, RunnerNews, Share,
    Tell,
};

/// Time after which a request comes again that found no retry left.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(500);

/// What is kept of an open request besides the pool's own record.
#[derive(Debug)]
struct Open {
    host: HostId,
    upstream: UpstreamName,
    workspace: WorkspaceName,
    cost: f64,
    granted: bool,
}

struct Ranked {
    pool: Pool,
    budget: RetryBudget,
    runners: BTreeMap<RunnerName, RunnerEntry>,
    engine: bool,
}

/// Decides for the requests of the hosts that ask it.
pub struct Coordinator {
    region: RegionName,
    rule: RetryRule,
    plan: Option<Arc<Plan>>,
    pools: BTreeMap<UpstreamName, Ranked>,
    quotas: Quotas,
    open: BTreeMap<RequestId, Open>,
    asking: BTreeSet<HostId>,
    known_hosts: usize,
    share: Share,
    wake: Option<MonoTime>,
    actions: Vec<PoolAction>,
}

impl Coordinator {
    /// A coordinator that knows of no runner and no other host.
    #[must_use]
    pub fn new(region: RegionName, rule: RetryRule) -> Self {
        Self {
            region,
            rule,
            plan: None,
            pools: BTreeMap::new(),
            quotas: Quotas::default(),
            open: BTreeMap::new(),
            asking: BTreeSet::new(),
            known_hosts: 1,
            share: Share::new(1, 1),
            wake: None,
            actions: Vec::new(),
        }
    }

    /// Puts a configuration into force.
    pub fn set_plan(&mut self, plan: Arc<Plan>) {
        self.plan = Some(plan);
    }

    /// Hosts that the fleet has, for the share of those that ask.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize, out: &mut Vec<(HostId, Tell)>) {
        self.known_hosts = hosts;
        self.update_share(now, out);
    }

    /// A host asks this coordinator from now on.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId, out: &mut Vec<(HostId, Tell)>) {
        if self.asking.insert(host) {
            self.update_share(now, out);
        }
    }

    /// A host is gone or asks another coordinator.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId, out: &mut Vec<(HostId, Tell)>) {
        if !self.asking.remove(host) {
            return;
        }
        let left = self.open.iter().filter(|(_, open)| open.host == *host);
        for id in left.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.open.remove(&id);
        }
        for upstream in self.upstreams() {
            self.pool_input(now, &upstream, PoolInput::EntryGone(host.clone()), out);
        }
        self.update_share(now, out);
    }

    /// Takes in what changed about a runner.
    pub fn runner_news(&mut self, now: MonoTime, news: &RunnerNews, out: &mut Vec<(HostId, Tell)>) {
        let (entry, gone) = match news {
            RunnerNews::Up(entry) | RunnerNews::Leaving(entry) => (entry, false),
            RunnerNews::Gone(entry) => (entry, true),
        };
        let upstream = &entry.upstream;
        let name = entry.key.name.clone();
        if gone {
            if let Some(ranked) = self.pools.get_mut(upstream) {
                ranked.runners.remove(&name);
            }
            self.pool_input(now, upstream, PoolInput::RunnerGone(name), out);
            return;
        }
        let share = self.share;
        let ranked = self.ranked(now, upstream);
        ranked.runners.insert(name, entry.clone());
        let spec = spec_of(entry, ranked.engine, share);
        self.pool_input(now, upstream, PoolInput::RunnerUp(spec), out);
    }

    /// Takes in what a host asks or reports.
    pub fn ask(&mut self, now: MonoTime, host: &HostId, ask: Ask, out: &mut Vec<(HostId, Tell)>) {
        match ask {
            Ask::Place(question) => self.place(now, host, *question, out),
            Ask::Adopt(question, runner) => {
                let Question { record, upstream, cost, .. } = *question;
                self.note_open(host, &upstream, &record.workspace, record.id, cost, true);
                self.ranked(now, &upstream);
                self.pool_input(now, &upstream, PoolInput::Adopt { record, runner }, out);
            }
            Ask::Withdraw(id) => {
                if let Some(open) = self.close(id) {
                    self.pool_input(now, &open.upstream, PoolInput::Withdraw(id), out);
                }
            }
            Ask::Back(id, reason) => {
                let share = self.share;
                let Some(open) = self.open.get_mut(&id) else { return };
                open.granted = false;
                let upstream = open.upstream.clone();
                if !self.ranked(now, &upstream).budget.take(now, share) {
                    self.close(id);
                    self.pool_input(now, &upstream, PoolInput::Withdraw(id), out);
                    let reason = NotRunReason::TurnedAway;
                    out.push((host.clone(), Tell::Refuse(id, reason, TURNED_AWAY_RETRY)));
                    return;
                }
                self.pool_input(now, &upstream, PoolInput::GrantUnused { id, reason }, out);
            }
            Ask::FirstToken(id) => {
                let Some(open) = self.open.get(&id) else { return };
                let upstream = open.upstream.clone();
                self.pool_input(now, &upstream, PoolInput::FirstToken(id), out);
            }
            Ask::Ended(id, end) => {
                let Some(open) = self.open.remove(&id) else { return };
                self.pool_input(now, &open.upstream, PoolInput::Ended { id, end }, out);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<(HostId, Tell)>) {
        if self.wake.is_none_or(|at| at > now) {
            return;
        }
        self.wake = None;
        for upstream in self.upstreams() {
            self.pool_input(now, &upstream, PoolInput::Tick, out);
        }
    }

    /// When [`Coordinator::tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.wake
    }

    /// Requests that wait, over all upstreams.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|ranked| ranked.pool.waiting()).sum()
    }

    /// The ranking of one upstream.
    #[must_use]
    pub fn pool(&self, upstream: &UpstreamName) -> Option<&Pool> {
        self.pools.get(upstream).map(|ranked| &ranked.pool)
    }

    fn place(
        &mut self,
        now: MonoTime,
        host: &HostId,
        question: Question,
        out: &mut Vec<(HostId, Tell)>,
    ) {
        let Question { record, upstream, cost, sent_before } = question;
        let (id, share) = (record.id, self.share);
        if self.open.contains_key(&id) {
            return;
        }
        if sent_before > 0 {
            if !self.ranked(now, &upstream).budget.take(now, share) {
                let reason = NotRunReason::TurnedAway;
                out.push((host.clone(), Tell::Refuse(id, reason, TURNED_AWAY_RETRY)));
                return;
            }
        } else {
            let quota = self.quota(&record.workspace);
            if let Err(wait) = self.quotas.take(now, &record.workspace, quota, share, cost) {
                out.push((host.clone(), Tell::Refuse(id, NotRunReason::OverQuota, wait)));
                return;
            }
            self.ranked(now, &upstream).budget.earn(share);
        }
        self.note_open(host, &upstream, &record.workspace, id, cost, false);
        self.pool_input(now, &upstream, PoolInput::Submit(record), out);
    }

    fn note_open(
        &mut self,
        host: &HostId,
        upstream: &UpstreamName,
        workspace: &WorkspaceName,
        id: RequestId,
        cost: f64,
        granted: bool,
    ) {
        let (host, upstream, workspace) = (host.clone(), upstream.clone(), workspace.clone());
        self.open.insert(id, Open { host, upstream, workspace, cost, granted });
    }

    /// Forgets a request; what was not granted goes back to the quota.
    fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        if !open.granted {
            self.quotas.give_back(&open.workspace, open.cost);
        }
        Some(open)
    }

    fn quota(&self, workspace: &WorkspaceName) -> Quota {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.workspace(workspace)).map(|w| w.quota).unwrap_or_default()
    }

    fn upstreams(&self) -> Vec<UpstreamName> {
        self.pools.keys().cloned().collect()
    }

    fn ranked(&mut self, now: MonoTime, upstream: &UpstreamName) -> &mut Ranked {
        let engine = self.plan.as_ref().and_then(|plan| plan.upstreams.get(upstream));
        let engine = engine.is_some_and(|upstream| upstream.engine);
        let (region, rule, share) = (&self.region, self.rule, self.share);
        self.pools.entry(upstream.clone()).or_insert_with(|| {
            let id = PoolId { upstream: upstream.clone(), region: region.clone() };
            Ranked {
                pool: Pool::new(PoolSettings::new(id, Epoch::default())),
                budget: RetryBudget::new(now, rule, share),
                runners: BTreeMap::new(),
                engine,
            }
        })
    }

    fn update_share(&mut self, now: MonoTime, out: &mut Vec<(HostId, Tell)>) {
        let share = Share::new(self.asking.len(), self.known_hosts);
        if share == self.share {
            return;
        }
        self.share = share;
        for upstream in self.upstreams() {
            let Some(ranked) = self.pools.get(&upstream) else { continue };
            let specs = ranked.runners.values().map(|entry| spec_of(entry, ranked.engine, share));
            for spec in specs.collect::<Vec<_>>() {
                self.pool_input(now, &upstream, PoolInput::RunnerUp(spec), out);
            }
        }
    }

    fn pool_input(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        input: PoolInput,
        out: &mut Vec<(HostId, Tell)>,
    ) {
        let Some(ranked) = self.pools.get_mut(upstream) else { return };
        let mut actions = std::mem::take(&mut self.actions);
        ranked.pool.handle(now, input, &mut actions);
        let mut granted = Vec::new();
        for action in actions.drain(..) {
            match action {
                PoolAction::Grant { entry, grant } => {
                    if let Some(open) = self.open.get_mut(&grant.id) {
                        open.granted = true;
                    }
                    granted.push(grant.id);
                    out.push((entry, Tell::Grant(grant.id, grant.runner)));
                }
                PoolAction::Refuse { entry, id, reason, retry_after } => {
                    if let Some(open) = self.open.remove(&id) {
                        self.quotas.give_back(&open.workspace, open.cost);
                    }
                    out.push((entry, Tell::Refuse(id, reason, retry_after)));
                }
                PoolAction::SetTimer(at) => {
                    self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
                }
            }
        }
        self.actions = actions;
        // A host uses its grant at once, or reports otherwise.
        for id in granted {
            self.pool_input(now, upstream, PoolInput::Dispatched(id), out);
        }
    }
}

fn spec_of(entry: &RunnerEntry, engine: bool, share: Share) -> RunnerSpec {
    let places = share.of_places(entry.places);
    RunnerSpec {
        name: entry.key.name.clone(),
        data_centre: entry.data_centre.clone(),
        initial_limit: places,
        places: Some(places),
        engine,
        leaving: entry.leaving,
    }
}
