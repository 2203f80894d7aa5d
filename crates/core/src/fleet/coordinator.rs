//! Schedules the requests of all client hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{HostId, HostName, RequestId, RunnerName, UpstreamName, WorkspaceName},
    time::MonoTime,
};

use super::{
    FleetConfig, FleetHosts, PlacementReply, PlacementRequest, Quarantine, Quota, QuotaTolerance,
    Quotas, RequestUpdate, RetryBudget, RetryBudgetLimits, RolloutLimits, RunnerKey, RunnerLimits,
    ShareBasis, StreamRecord, StreamRetention, StreamVersions, Suspect, UpstreamScheduler,
    VersionHistory,
};

mod decisions;
mod limits;

mod requests;
mod rollouts;
mod runners;
mod streams;
mod suspects;
mod trials;

pub(super) use self::trials::QUARANTINE_RETRY_AFTER;

use self::{
    requests::{HostRequest, Retry},
    streams::{TakeUp, configured_retention},
};

#[derive(Clone, Debug)]
struct UpstreamState {
    scheduler: UpstreamScheduler,
    /// None until its first use since this host began to coordinate.
    budget: Option<RetryBudget>,
    runners: BTreeMap<RunnerName, KnownRunner>,
    history: VersionHistory,
}

/// What the store says of a runner.
#[derive(Clone, Debug)]
struct KnownRunner {
    key: RunnerKey,
    address: SocketAddr,
    /// Over all hosts.
    slots: u32,
    leaving: bool,
}

/// Interval of the checks for requests that wait until the version of their stream is
/// known.
const TAKE_UP_INTERVAL: Duration = Duration::from_millis(20);

/// Schedules the requests of its client hosts, within quotas and retry budgets.
#[derive(Clone, Debug)]
pub struct Coordinator {
    retry_limits: RetryBudgetLimits,
    config: Option<Arc<FleetConfig>>,
    upstreams: BTreeMap<UpstreamName, UpstreamState>,
    quotas: Quotas,
    open: BTreeMap<RequestId, HostRequest>,
    clients: BTreeSet<HostId>,
    hosts: FleetHosts,
    /// Registered hosts that are probably down.
    down_hosts: usize,
    basis: ShareBasis,
    /// Versions of the streams that this host knows.
    streams: StreamVersions,
    /// Versions of the streams that the store has. Other hosts read them there.
    stored_streams: StreamVersions,
    /// For how long streams and versions are remembered.
    retention: StreamRetention,
    /// Streams recorded while several versions serve, for the hosts that keep copies.
    new_streams: Vec<StreamRecord>,
    /// Requests that wait until the version of their stream is known.
    take_ups: BTreeMap<RequestId, TakeUp>,
    /// When the view of the store was last verified as the newest.
    verified_at: MonoTime,
    /// Limits that runners have named.
    limits: RunnerLimits,
    quarantine: Quarantine,
    /// Open requests with each suspect that is tried.
    trials: BTreeMap<Suspect, BTreeSet<RequestId>>,
    /// Suspects whose state has changed since other hosts were told, and those that they
    /// were told of.
    changed_suspects: BTreeSet<Suspect>,
    shared_suspects: BTreeSet<Suspect>,
    /// Limits of rollouts; none if the settings name none.
    rollout_limits: Option<RolloutLimits>,
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
            hosts: FleetHosts::default(),
            down_hosts: 0,
            basis: ShareBasis { clients: 0, known: 1, absent: 0 },
            streams: StreamVersions::default(),
            stored_streams: StreamVersions::default(),
            retention: StreamRetention::default(),
            new_streams: Vec::new(),
            take_ups: BTreeMap::new(),
            verified_at: MonoTime::ZERO,
            limits: RunnerLimits::default(),
            quarantine: Quarantine::default(),
            trials: BTreeMap::new(),
            changed_suspects: BTreeSet::new(),
            shared_suspects: BTreeSet::new(),
            rollout_limits: None,
        }
    }

    /// Sets for how long a host may use the capacity of the fleet after it was last
    /// seen: the time for which it serves without a verified view of the store.
    #[must_use]
    pub fn with_host_memory(mut self, memory: Duration) -> Self {
        self.hosts = FleetHosts::new(memory);
        self
    }

    /// Applies a configuration. What began under the former one keeps its retention.
    pub fn set_config(&mut self, now: MonoTime, config: Arc<FleetConfig>) {
        for (name, state) in &mut self.upstreams {
            state.scheduler.set_engine(is_engine(&config, name));
            state.scheduler.set_weights(config.weights());
            state.scheduler.set_prompt_memory(prompt_memory(&config, name));
        }
        self.retention.set_configured(now, configured_retention(&config));
        self.config = Some(config);
    }

    /// Sets the hosts that are registered in the store, with the local one.
    pub fn set_registered_hosts<'a, I>(&mut self, now: MonoTime, names: I)
    where
        I: IntoIterator<Item = &'a HostName>,
    {
        self.hosts.set_registered(now, names);
        self.update_share(now);
    }

    /// Sets the number of hosts that the local host's coordinator knows. It may know
    /// some that have no entry in the store.
    pub fn set_reported_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.hosts.set_reported(now, hosts);
        self.update_share(now);
    }

    /// Sets the number of registered hosts that are probably down. Their share of the
    /// runners' slots is used, but not that of the quotas and of the retry budget.
    pub fn set_down_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.down_hosts = hosts;
        self.update_share(now);
    }

    /// Returns the hosts from which the shares are computed.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::{
    ///     fleet::{Coordinator, QuotaTolerance, RetryBudgetLimits, ShareBasis},
    ///     ids::HostId,
    ///     time::MonoTime,
    /// };
    ///
    /// let host = |name: &str| HostId { name: name.parse().unwrap(), incarnation: 1 };
    /// let (now, retries) = (
    ///     MonoTime::from_millis(1),
    ///     RetryBudgetLimits { ratio: 0.2, slack: 5.0, window_s: 10.0 },
    /// );
    /// let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
    /// coordinator.set_registered_hosts(now, [&host("a").name, &host("b").name]);
    /// coordinator.local_host_joined(now, host("a"));
    /// assert_eq!(coordinator.share_basis(), ShareBasis { clients: 1, known: 2, absent: 0 });
    /// // It has a session and no entry in the store.
    /// coordinator.host_joined(now, host("c"));
    /// assert_eq!(coordinator.share_basis(), ShareBasis { clients: 2, known: 3, absent: 0 });
    /// ```
    #[must_use]
    pub fn share_basis(&self) -> ShareBasis {
        self.basis
    }

    /// Returns the hosts whose requests it schedules.
    pub fn clients(&self) -> impl Iterator<Item = &HostId> {
        self.clients.iter()
    }

    /// Adds the local host as a client.
    pub fn local_host_joined(&mut self, now: MonoTime, me: HostId) {
        self.add_client(now, me.clone());
        self.quotas.local_host_joined(now, me);
    }

    /// Adds another host as a client.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.add_client(now, host.clone());
        self.quotas.host_joined(now, host);
    }

    fn add_client(&mut self, now: MonoTime, host: HostId) {
        if self.clients.is_empty() {
            // Meanwhile another coordinator may have used all of them.
            self.upstreams.values_mut().for_each(|state| state.budget = None);
        }
        if !self.clients.contains(&host) {
            self.hosts.session_opened(now, &host.name);
            self.clients.insert(host);
            self.update_share(now);
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
        let share = self.basis.budget_share();
        for (_, open) in self.open.extract_if(.., |_, open| open.host == *host) {
            if open.reserved {
                self.quotas.release(now, &open.workspace, open.cost);
            }
            if let Some(state) = self.upstreams.get_mut(&open.upstream)
                && let Some(budget) = state.budget.as_mut()
                && open.retry == Retry::Waiting
            {
                budget.release(share);
            }
        }
        self.take_ups.retain(|_, take_up| take_up.host != *host);
        self.quotas.host_left(now, host);
        self.hosts.session_closed(now, &host.name);
        self.update_share(now);
        for upstream in self.upstream_names() {
            self.step(now, &upstream, out, |scheduler, decisions| {
                scheduler.host_left(now, host, decisions);
            });
        }
        self.update_trials(now, out);
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
            RequestUpdate::Submit(req) => self.submit_bound(now, host, *req, out),
            RequestUpdate::Adopt(req, runner) => {
                let suspects = req.suspects();
                let retry = if req.is_retry() { Retry::Sent } else { Retry::No };
                let PlacementRequest { record, upstream, cost, time_limit, stream, .. } = *req;
                let (id, time_left) = (record.id, time_limit.saturating_sub(record.age));
                self.record_open(host, &upstream, &record, cost, true);
                if let Some(stream) = &stream {
                    self.retention.request_submitted(now, stream.retention);
                }
                let scheduler = &mut self.upstream_state(&upstream).scheduler;
                scheduler.adopt(now, record, time_left, runner.clone());
                if let Some(stream) = stream.as_ref().filter(|stream| !stream.begins) {
                    scheduler.bind_to_version(id, stream.version.clone());
                }
                if let Some(open) = self.open.get_mut(&id) {
                    open.stream = stream;
                    open.suspects = suspects;
                    open.dispatch = Some((runner, MonoTime::ZERO));
                    open.retry = retry;
                }
                self.join_trials(id);
            }
            RequestUpdate::Withdraw(id) => {
                if self.take_ups.remove(&id).is_some() {
                    return;
                }
                if let Some(open) = self.remove_open(now, id) {
                    self.step(now, &open.upstream, out, |scheduler, decisions| {
                        scheduler.withdraw(now, id, decisions)
                    });
                }
            }
            RequestUpdate::Requeue(id, reason) => self.requeue(now, host, id, reason, out),
            RequestUpdate::FirstToken(id) => {
                let Some(open) = self.open.get_mut(&id) else { return };
                open.begun_at.get_or_insert(now);
                if self.quarantine.has_unconfirmed() {
                    let open = open.clone();
                    self.record_response(now, &open);
                }
                let Some(open) = self.open.get(&id) else { return };
                if let Some(state) = self.upstreams.get_mut(&open.upstream) {
                    state.scheduler.first_token(now, id);
                }
                if let Some(record) = open.stream_record() {
                    self.record_stream(now, record);
                }
            }
            RequestUpdate::Ended(id, end) => {
                let Some(open) = self.open.remove(&id) else { return };
                self.record_suspect_end(&open, now, end);
                self.step(now, &open.upstream, out, |scheduler, decisions| {
                    scheduler.ended(now, id, end);
                    scheduler.tick(now, decisions);
                });
            }
        }
        self.update_trials(now, out);
    }

    /// Schedules again and refuses requests that have waited too long.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        self.submit_take_ups(now, out);
        for upstream in self.upstream_names() {
            self.step(now, &upstream, out, |scheduler, decisions| scheduler.tick(now, decisions));
        }
        self.check_suspects(now, out);
    }

    /// Returns when [`Coordinator::tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let take_ups = (!self.take_ups.is_empty()).then(|| now + TAKE_UP_INTERVAL);
        let schedulers = self.upstreams.values();
        schedulers.filter_map(|state| state.scheduler.next_wake(now)).chain(take_ups).min()
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

    /// Returns the retry budgets of the upstreams that have used theirs since this host
    /// began to coordinate.
    pub fn retry_budgets(&self) -> impl Iterator<Item = (&UpstreamName, &RetryBudget)> {
        self.upstreams.iter().filter_map(|(name, state)| Some((name, state.budget.as_ref()?)))
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

    /// Returns the retry budget of an upstream.
    fn budget(&mut self, now: MonoTime, upstream: &UpstreamName) -> &mut RetryBudget {
        let (limits, is_alone) = (self.retry_limits, self.basis.known <= 1);
        self.upstream_state(upstream).budget.get_or_insert_with(|| match is_alone {
            true => RetryBudget::with_unused_slack(now, limits),
            false => RetryBudget::new(now, limits),
        })
    }

    fn upstream_names(&self) -> Vec<UpstreamName> {
        self.upstreams.keys().cloned().collect()
    }

    fn upstream_state(&mut self, upstream: &UpstreamName) -> &mut UpstreamState {
        let engine = self.config.as_ref().is_some_and(|config| is_engine(config, upstream));
        let config = self.config.as_deref();
        let prompt_memory = config.and_then(|config| prompt_memory(config, upstream));
        self.upstreams.entry(upstream.clone()).or_insert_with(|| UpstreamState {
            scheduler: UpstreamScheduler::new(engine)
                .with_weights(config.map(FleetConfig::weights).unwrap_or_default())
                .with_prompt_memory(prompt_memory),
            budget: None,
            runners: BTreeMap::new(),
            history: VersionHistory::default(),
        })
    }

    fn update_share(&mut self, now: MonoTime) {
        let known = self.hosts.known(now);
        let present = self.hosts.present().saturating_sub(self.down_hosts);
        let absent = known.saturating_sub(present);
        let basis = ShareBasis { clients: self.clients.len(), known, absent };
        let before = std::mem::replace(&mut self.basis, basis);
        if before == basis {
            return;
        }
        self.quotas.set_known_hosts(now, known);
        self.enforce_all_limits(now);
        let (before, share) = (before.slot_share(), basis.slot_share());
        for state in self.upstreams.values_mut() {
            for (name, known) in &state.runners {
                // Most hosts that join don't change the rounded number of slots.
                let slots_now = share.of_slots(known.slots);
                if slots_now != before.of_slots(known.slots) {
                    state.scheduler.set_runner(name.clone(), slots_now, known.leaving);
                }
            }
        }
    }
}

/// Returns the tokens that an upstream's runners hold in memory, if they say so.
fn prompt_memory(config: &FleetConfig, upstream: &UpstreamName) -> Option<u32> {
    config.upstreams.get(upstream).and_then(|upstream| upstream.prompt_memory)
}

fn is_engine(config: &FleetConfig, upstream: &UpstreamName) -> bool {
    config.upstreams.get(upstream).is_some_and(|upstream| upstream.engine)
}
