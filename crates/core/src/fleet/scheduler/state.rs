//! State and inputs of the scheduler.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    fleet::{Rollout, RunnerVersion},
    ids::{HostId, RequestId, RunnerName, WorkspaceName},
    outcome::NotRunReason,
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    DispatchFailure, RunnerState,
    floor::ClassFloors,
    lengths::ResponseLengths,
    prompt_index::PromptIndex,
    queue::{Deadlines, NewRequest, Queue},
    reach::HostReach,
    returns::ReturnTimes,
    runner_index::RunnerIndex,
    shares::WorkspaceShares,
};

/// Time between two scheduling passes while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Prompt tokens that an engine prefills in one step.
const CHUNK_TOKENS: f64 = 2_048.0;

/// A decision on one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The host may send the request to this runner.
    Grant(HostId, RequestId, RunnerName),
    /// The request is refused; the caller may try again after this time.
    Refuse(HostId, RequestId, NotRunReason, Duration),
}

/// A granted request.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub(super) record: RequestRecord,
    pub(super) runner: RunnerName,
    /// The only software version that may run it.
    pub(super) version: Option<RunnerVersion>,
    /// Software version of the runner, if it is known.
    pub(super) served_by: Option<RunnerVersion>,
    /// When the target ends, as of the request's arrival.
    pub(super) target_at: MonoTime,
    pub(super) respond_by: MonoTime,
}

/// A request to queue.
#[derive(Debug)]
struct Submission {
    record: RequestRecord,
    /// When the target ends, as of the request's arrival.
    target_at: MonoTime,
    respond_by: MonoTime,
    /// The runner it was sent to last.
    avoid: Option<RunnerName>,
    /// The only software version that may run it.
    version: Option<RunnerVersion>,
    /// True if it is beyond the share of its workspace.
    over_share: bool,
}

/// Queues, places and refuses the requests of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamScheduler {
    pub(super) engine: bool,
    pub(super) chunk_tokens: f64,
    pub(super) runners: RunnerIndex,
    pub(super) queue: Queue,
    pub(super) floors: ClassFloors,
    pub(super) returns: ReturnTimes,
    pub(super) shares: WorkspaceShares,
    pub(super) granted: BTreeMap<RequestId, Granted>,
    pub(super) lengths: ResponseLengths,
    pub(super) prompts: PromptIndex,
    /// Which hosts reach runners.
    pub(super) reach: HostReach,
    /// Until then some runners may not accept the requests of some hosts.
    pub(super) hosts_differ_until: MonoTime,
    pub(super) rollout: Option<Rollout>,
}

impl UpstreamScheduler {
    /// Creates a scheduler without runners. `engine` is true for model engines.
    #[must_use]
    pub fn new(engine: bool) -> Self {
        let mut runners = RunnerIndex::default();
        runners.set_engine(engine);
        Self {
            engine,
            chunk_tokens: CHUNK_TOKENS,
            runners,
            queue: Queue::default(),
            floors: ClassFloors::default(),
            returns: ReturnTimes::default(),
            shares: WorkspaceShares::default(),
            granted: BTreeMap::new(),
            lengths: ResponseLengths::default(),
            prompts: PromptIndex::default(),
            reach: HostReach::default(),
            hosts_differ_until: MonoTime::ZERO,
            rollout: None,
        }
    }

    /// Sets the weights of workspaces, as [`UpstreamScheduler::set_weights`] does.
    #[must_use]
    pub fn with_weights(mut self, weights: BTreeMap<WorkspaceName, f64>) -> Self {
        self.set_weights(weights);
        self
    }

    /// Sets whether the upstream's runners are model engines.
    pub fn set_engine(&mut self, engine: bool) {
        self.engine = engine;
        self.runners.set_engine(engine);
    }

    /// Sets the weights by which workspaces share full runners, such as the rates of their
    /// quotas. A workspace without a weight counts as the one with the highest.
    pub fn set_weights(&mut self, weights: BTreeMap<WorkspaceName, f64>) {
        self.shares.set_weights(weights);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Submits a request. `time_left` is the time until its response must be
    /// complete, `avoid` the runner it was sent to last.
    pub fn submit(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        time_left: Duration,
        avoid: Option<RunnerName>,
        out: &mut Vec<Decision>,
    ) {
        self.submit_at_version(now, record, time_left, avoid, None, out);
    }

    /// Submits a request that only runners of `version` may run, if one is given.
    pub fn submit_at_version(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        time_left: Duration,
        avoid: Option<RunnerName>,
        version: Option<RunnerVersion>,
        out: &mut Vec<Decision>,
    ) {
        if self.admit(now, record, time_left, avoid, version, out) {
            self.grant(now, out);
        }
    }

    /// Submits a request that is not granted until [`UpstreamScheduler::release_hold`].
    pub(crate) fn submit_held(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        time_left: Duration,
        avoid: Option<RunnerName>,
        version: Option<RunnerVersion>,
        out: &mut Vec<Decision>,
    ) {
        let id = record.id;
        if self.admit(now, record, time_left, avoid, version, out) {
            self.queue.hold(id);
        }
    }

    /// Keeps a waiting request from being granted.
    pub(crate) fn hold(&mut self, id: RequestId) {
        self.queue.hold(id);
    }

    /// Lets a held request be granted.
    pub(crate) fn release_hold(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<Decision>) {
        self.queue.release_hold(id);
        self.tick(now, out);
    }

    /// Adds a request to the queue unless it is known or has to be shed.
    fn admit(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        time_left: Duration,
        avoid: Option<RunnerName>,
        version: Option<RunnerVersion>,
        out: &mut Vec<Decision>,
    ) -> bool {
        self.runners.refresh(now);
        let id = record.id;
        if self.queue.contains(id) || self.granted.contains_key(&id) {
            return false;
        }
        self.floors.submitted(now, &record.class);
        let over_share = self.is_over_share(now, &record);
        if let Some(retry_after) = self.shed_on_arrival(now, &record, over_share, time_left) {
            out.push(Decision::Refuse(record.entry, id, NotRunReason::Shed, retry_after));
            return false;
        }
        let target_at = target_at(now, &record);
        let respond_by = now + time_left;
        self.enqueue(now, Submission { record, target_at, respond_by, avoid, version, over_share });
        true
    }

    /// Records what a workspace asks for. Returns true if a request is beyond its share.
    fn is_over_share(&mut self, now: MonoTime, record: &RequestRecord) -> bool {
        self.shares.refresh(now, self.total_slots());
        let length = self.lengths.expected(record);
        let us = self.expected_us(1.0, f64::from(record.prefill_tokens), length);
        !self.shares.submitted(now, record.tier, &record.workspace, us / 1e6)
    }

    /// Removes a request that its host withdrew.
    pub fn withdraw(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<Decision>) {
        if self.queue.remove(id).is_none() {
            self.release(id);
        }
        self.grant(now, out);
    }

    /// Requeues a granted request that the runner did not run.
    pub fn requeue(
        &mut self,
        now: MonoTime,
        id: RequestId,
        failure: Option<DispatchFailure>,
        out: &mut Vec<Decision>,
    ) {
        self.enqueue_again(now, id, failure);
        self.grant(now, out);
    }

    /// Requeues a granted request, which is not granted again until
    /// [`UpstreamScheduler::release_hold`].
    pub(crate) fn requeue_held(
        &mut self,
        now: MonoTime,
        id: RequestId,
        failure: Option<DispatchFailure>,
        out: &mut Vec<Decision>,
    ) {
        self.enqueue_again(now, id, failure);
        self.queue.hold(id);
        self.grant(now, out);
    }

    fn enqueue_again(&mut self, now: MonoTime, id: RequestId, failure: Option<DispatchFailure>) {
        let Some(granted) = self.release_failed(now, id, failure) else { return };
        self.count_not_run(&granted);
        let Granted { record, runner, version, target_at, respond_by, .. } = granted;
        self.floors.requeued(now, &record.class);
        let avoid = Some(runner);
        // It had its turn before.
        let over_share = false;
        self.enqueue(now, Submission { record, target_at, respond_by, avoid, version, over_share });
    }

    /// Removes a granted request that the runner did not run and that is not sent
    /// again.
    pub fn discard(
        &mut self,
        now: MonoTime,
        id: RequestId,
        failure: Option<DispatchFailure>,
        out: &mut Vec<Decision>,
    ) {
        if self.release_failed(now, id, failure).is_some() {
            self.grant(now, out);
        }
    }

    /// Adds a request in progress at `runner` that another coordinator granted.
    /// `time_left` is the time until its response must be complete.
    pub fn adopt(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        time_left: Duration,
        runner: RunnerName,
    ) {
        self.queue.remove(record.id);
        let target_at = target_at(now, &record);
        let respond_by = now + time_left;
        let served_by = self.runner_version(&runner);
        let version = None;
        self.start(now, Granted { record, runner, version, served_by, target_at, respond_by });
    }

    /// Lets only runners of `version` run a granted request if it is requeued.
    pub fn bind_to_version(&mut self, id: RequestId, version: Option<RunnerVersion>) {
        if let Some(granted) = self.granted.get_mut(&id) {
            granted.version = version;
        }
    }

    /// Removes all requests of a host whose session ended or that uses another
    /// coordinator. Those at runners are released too: when a host is down, its
    /// connections to runners are closed.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId, out: &mut Vec<Decision>) {
        for id in self.queue.ids_of_host(host) {
            self.queue.remove(id);
        }
        let removed = self.granted.iter().filter(|(_, granted)| granted.record.entry == *host);
        for id in removed.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release(id);
        }
        self.reach.forget(host);
        self.grant(now, out);
    }

    /// Grants and refuses requests as time passes.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        self.runners.refresh(now);
        self.grant(now, out);
        while let Some(waiting) = self.queue.pop_expired(now) {
            let id = waiting.record.id;
            let rank = waiting.rank();
            let wait = self.backlog(rank);
            let left = waiting.deadlines.respond_by.since(now);
            let retry_after = self.retry_after(now, &waiting.record, rank, wait, left);
            let reason = match self.runners.is_empty() {
                true => NotRunReason::NoRunner,
                false => NotRunReason::TargetUnreachable,
            };
            out.push(Decision::Refuse(waiting.record.entry, id, reason, retry_after));
        }
    }

    /// Returns when [`UpstreamScheduler::tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        (self.queue.len() > 0).then(|| now + TICK_INTERVAL)
    }

    fn enqueue(&mut self, now: MonoTime, submission: Submission) {
        let Submission { record, target_at, respond_by, avoid, version, over_share } = submission;
        let latest_start = target_at - self.min_first_token(record.prefill_tokens);
        let refuse_at = Self::refusal_time(now, &record, respond_by.since(now));
        let deadlines = Deadlines { target_at, respond_by, refuse_at };
        let length = self.lengths.expected(&record);
        self.queue.insert(NewRequest {
            record,
            length,
            deadlines,
            latest_start,
            avoid,
            version,
            over_share,
        });
    }

    pub(super) fn start(&mut self, now: MonoTime, granted: Granted) {
        let (id, record) = (granted.record.id, &granted.record);
        let kept = self.prompts.tokens_at(&granted.runner, &record.prefix, &record.prefix_tokens);
        let prompt = record.prefill_tokens.saturating_sub(kept);
        let length = self.lengths.expected(record);
        self.runners.update(&granted.runner, |runner| runner.start(now, id, prompt, length));
        self.granted.insert(id, granted);
    }

    fn release_failed(
        &mut self,
        now: MonoTime,
        id: RequestId,
        failure: Option<DispatchFailure>,
    ) -> Option<Granted> {
        let granted = self.release(id)?;
        if let Some(failure) = failure {
            self.record_failure(now, &granted, failure);
            if failure == DispatchFailure::Broken {
                self.record_rollout_break(now, &granted);
            }
        }
        self.runners.refresh(now);
        Some(granted)
    }

    /// Records that a dispatch failed. What a host that reaches no runner reports says
    /// nothing of the runner.
    pub(super) fn record_failure(
        &mut self,
        now: MonoTime,
        granted: &Granted,
        failure: DispatchFailure,
    ) {
        let (host, name) = (&granted.record.entry, &granted.runner);
        if failure == DispatchFailure::Full {
            self.runners.update(name, |runner| runner.record_full(now));
            return;
        }
        self.reach.record_failure(host, name);
        let is_cut_off = self.reach.is_cut_off(host, self.runners.len());
        self.runners.update(name, |runner| {
            runner.record_host_failure(now, host);
            if !is_cut_off {
                runner.record_failure(now, host);
            }
        });
        let until = self.runners.get(name).map(RunnerState::hosts_differ_until);
        self.hosts_differ_until = self.hosts_differ_until.max(until.unwrap_or(MonoTime::ZERO));
    }

    fn release(&mut self, id: RequestId) -> Option<Granted> {
        let granted = self.granted.remove(&id)?;
        self.runners.update(&granted.runner, |runner| runner.end(id));
        Some(granted)
    }
}

/// Returns when the target of a request ends whose record has just arrived.
fn target_at(now: MonoTime, record: &RequestRecord) -> MonoTime {
    now + record.target.limit().saturating_sub(record.age)
}
