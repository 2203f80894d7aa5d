//! State of a pool owner and handling of its inputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{HostId, RequestId},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::{
    PoolAction, PoolCounters, PoolInput, PoolSettings,
    active_request::ActiveRequest,
    budget::RetryBudget,
    estimate::DecodeEstimates,
    hash::StableMap,
    prefix::{PrefixHit, PrefixIndex},
    queues::Queues,
    request::Request,
    runner::RunnerIx,
    shed::RecentShedding,
    table::RunnerTable,
    tightest::TightestTarget,
    timers::{Timer, Timers},
};

/// Minimum time after which a refused caller may try again.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of one pool at its owner.
pub struct Pool {
    pub(super) settings: PoolSettings,
    pub(super) runners: RunnerTable,
    pub(super) queues: Queues,
    pub(super) active_requests: StableMap<RequestId, ActiveRequest>,
    /// Waiting and granted requests of each entry.
    pub(super) entries: BTreeMap<HostId, BTreeSet<RequestId>>,
    pub(super) timers: Timers,
    pub(super) decode_estimates: DecodeEstimates,
    pub(super) prefixes: PrefixIndex,
    pub(super) retry_budget: RetryBudget,
    pub(super) recent_shedding: RecentShedding,
    pub(super) tightest_target: TightestTarget,
    pub(super) counters: PoolCounters,
    pub(super) prefix_hits: Vec<PrefixHit>,
    pub(super) next_arrival: u64,
}

impl Pool {
    /// Creates a pool without runners or requests.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            queues: Queues::new(settings.share_window),
            settings,
            runners: RunnerTable::default(),
            active_requests: StableMap::default(),
            entries: BTreeMap::new(),
            timers: Timers::default(),
            decode_estimates: DecodeEstimates::default(),
            prefixes: PrefixIndex::default(),
            retry_budget: RetryBudget::new(),
            recent_shedding: RecentShedding::default(),
            tightest_target: TightestTarget::default(),
            counters: PoolCounters::default(),
            prefix_hits: Vec::new(),
            next_arrival: 0,
        }
    }

    /// Returns the settings of the pool.
    #[must_use]
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of granted requests that have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.active_requests.len()
    }

    /// Returns the counters since the owner started.
    #[must_use]
    pub fn counters(&self) -> &PoolCounters {
        &self.counters
    }

    /// Handles one input and appends the resulting actions to `out`.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::{
    ///     ids::{Epoch, PoolId},
    ///     pool::{Pool, PoolInput, PoolSettings},
    ///     time::MonoTime,
    /// };
    ///
    /// let id = PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() };
    /// let mut pool = Pool::new(PoolSettings::new(id, Epoch::default()));
    /// let mut actions = Vec::new();
    /// pool.handle(MonoTime::ZERO, PoolInput::Tick, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        self.apply_input(now, input, out);
        self.run_timers(now, out);
        self.grant_all(now, out);
        if let Some(at) = self.timers.rearm(now) {
            out.push(PoolAction::SetTimer(at));
        }
    }

    fn apply_input(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        match input {
            PoolInput::Submit(record) => self.submit(now, record, out),
            PoolInput::Withdraw(id) => self.withdraw(now, id),
            PoolInput::GrantUnused { id, reason } => self.grant_unused(now, id, reason, out),
            PoolInput::Dispatched(id) => self.dispatched(id),
            PoolInput::FirstToken(id) => self.first_token(now, id),
            PoolInput::Ended { id, end } => self.ended(now, id, end),
            PoolInput::Adopt { record, runner } => self.adopt(now, record, &runner),
            PoolInput::EntryDown(entry) => self.entry_down(now, &entry),
            PoolInput::RunnerUpdated(spec) => {
                let leaving = spec.leaving;
                let ix = self.runners.upsert(spec);
                self.refresh(now, ix);
                if leaving {
                    self.resume_deferred(now, ix);
                }
            }
            PoolInput::RunnerLeaving(name) => {
                let Some(ix) = self.runners.find(&name) else { return };
                if let Some(runner) = self.runners.get_mut(ix) {
                    runner.leaving = true;
                }
                self.refresh(now, ix);
                self.resume_deferred(now, ix);
            }
            PoolInput::RunnerRemoved(name) => self.remove_runner(now, &name),
            PoolInput::Load { runner, report } => self.apply_load_report(now, &runner, &report),
            PoolInput::Cache { runner, event } => {
                if let Some(ix) = self.runners.find(&runner) {
                    self.prefixes.apply_event(now, ix, &event);
                }
            }
            PoolInput::Tick => {}
        }
    }

    fn run_timers(&mut self, now: MonoTime, out: &mut Vec<PoolAction>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Unreachable(id) => self.refuse_unreachable(id, out),
                Timer::GrantExpiry(id) => self.grant_expired(now, id, out),
                Timer::OrphanExpiry(id) => {
                    self.release(now, id);
                }
                Timer::DeferralExpiry(id) => self.end_deferral(id),
                Timer::CapacityCheck(ix) => {
                    self.refresh(now, ix);
                    self.resume_deferred(now, ix);
                }
            }
        }
    }

    pub(super) fn refresh(&mut self, now: MonoTime, ix: RunnerIx) {
        self.runners.refresh(now, ix, &mut self.timers);
    }

    /// Adds a request to its queue and sets its timer.
    pub(super) fn enqueue(&mut self, request: Box<Request>) {
        let id = request.record.id;
        self.timers.set(request.unreachable_at, Timer::Unreachable(id));
        self.add_to_entry(&request.record.entry, id);
        self.queues.insert(request);
    }

    /// Removes a waiting request from the pool.
    pub(super) fn drop_waiting(&mut self, id: RequestId) -> Option<Box<Request>> {
        let request = self.queues.remove(id)?;
        self.timers.cancel(request.unreachable_at, Timer::Unreachable(id));
        if let Some(deferral) = request.deferral {
            self.timers.cancel(deferral.until, Timer::DeferralExpiry(id));
        }
        self.remove_from_entry(&request.record.entry, id);
        Some(request)
    }

    pub(super) fn refuse(
        &mut self,
        request: &Request,
        reason: NotRunReason,
        retry_after: Duration,
        out: &mut Vec<PoolAction>,
    ) {
        let record = &request.record;
        self.counters.count_refused(record.tier, reason);
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let entry = record.entry.clone();
        out.push(PoolAction::Refuse { entry, id: record.id, reason, retry_after });
    }

    pub(super) fn add_to_entry(&mut self, entry: &HostId, id: RequestId) {
        self.entries.entry(entry.clone()).or_default().insert(id);
    }

    pub(super) fn remove_from_entry(&mut self, entry: &HostId, id: RequestId) {
        let Some(ids) = self.entries.get_mut(entry) else { return };
        ids.remove(&id);
        if ids.is_empty() {
            self.entries.remove(entry);
        }
    }

    fn refuse_unreachable(&mut self, id: RequestId, out: &mut Vec<PoolAction>) {
        if let Some(request) = self.drop_waiting(id) {
            let reason = if self.runners.len() == 0 {
                NotRunReason::NoRunner
            } else {
                NotRunReason::TargetUnreachable
            };
            self.refuse(&request, reason, MIN_RETRY_AFTER, out);
        }
    }
}
