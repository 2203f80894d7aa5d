//! The actor that runs on the control thread.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::{
    Actor, ActorContext, Addr, AsyncContext, Context, Handler, SpawnHandle, StreamHandler,
};
use comfreyway_core::{
    cluster::ClusterInput,
    config::Document,
    entry::EntryInput,
    ids::{Epoch, HostId, HostName, PoolId, RequestId, RunnerName},
    outcome::RetryReason,
    owner::{self, Identity, RequestKey},
    pool::PoolInput,
    request::RequestRecord,
    time::MonoTime,
};
use comfreyway_platform::{EmbeddedKeyValue, HostList, KeyValue};
use futures_util::stream;
use tokio::sync::{
    mpsc::{Receiver, UnboundedReceiver, UnboundedSender},
    watch,
};

use crate::{
    peers::{PeerEvent, PeersHandle},
    reports::{ReportsActor, RunnerHeard, RunnerNews, WatchRunners},
};

use super::{
    Clock, ControlStatus, Decision, PoolStatus, Progress, Submission, WorkerMessage,
    decisions::Decisions, effect::Effect, ownership::Ownership, runners::PoolRunners,
};

/// Holds the state of all decisions of this host.
pub struct Control {
    pub(super) clock: Clock,
    pub(super) host: HostId,
    config: watch::Receiver<Arc<Document>>,
    document: Arc<Document>,
    pub(super) runners: PoolRunners,
    pub(super) decisions: Decisions,
    workers: HashMap<RequestId, UnboundedSender<Decision>>,
    queue: Option<UnboundedReceiver<WorkerMessage>>,
    pub(super) effects: Vec<Effect>,
    wake: Option<(MonoTime, SpawnHandle)>,
    host_list: Option<Rc<dyn HostList>>,
    reports: Option<Addr<ReportsActor>>,
    pub(super) peers: Option<PeersHandle>,
    peer_events: Option<Receiver<PeerEvent>>,
    pub(super) ownership: Ownership,
}

impl Control {
    /// A control actor that reads workers' messages from `queue`.
    #[must_use]
    pub fn new(
        host: HostId,
        config: watch::Receiver<Arc<Document>>,
        queue: UnboundedReceiver<WorkerMessage>,
    ) -> Self {
        let kv = Rc::new(EmbeddedKeyValue::new());
        let ownership = Ownership::new(host.clone(), kv, BTreeSet::new());
        Self {
            clock: Clock::new(),
            decisions: Decisions::new(host.clone()),
            host,
            config,
            document: Arc::default(),
            runners: PoolRunners::default(),
            workers: HashMap::new(),
            queue: Some(queue),
            effects: Vec::new(),
            wake: None,
            host_list: None,
            reports: None,
            peers: None,
            peer_events: None,
            ownership,
        }
    }

    /// Agrees on the owners of pools through `kv`. `peers` are the other hosts
    /// that the settings name. Without this, the host owns every pool alone.
    #[must_use]
    pub fn with_key_value(mut self, kv: Rc<dyn KeyValue>, peers: BTreeSet<HostName>) -> Self {
        self.ownership = Ownership::new(self.host.clone(), kv, peers);
        self
    }

    /// Acts together with the hosts that `peers` reaches.
    #[must_use]
    pub fn with_peers(mut self, peers: PeersHandle, events: Receiver<PeerEvent>) -> Self {
        self.peers = Some(peers);
        self.peer_events = Some(events);
        self
    }

    /// Hears of leaving runners from this host list.
    #[must_use]
    pub fn with_host_list(mut self, host_list: Rc<dyn HostList>) -> Self {
        self.host_list = Some(host_list);
        self
    }

    /// Takes the configuration in force into the pools.
    fn apply_config(&mut self, cx: &mut Context<Self>) {
        self.document = self.config.borrow_and_update().clone();
        let now = self.clock.now();
        let changes = self.runners.update(&self.document);
        for (pool, input) in changes.inputs {
            self.decisions.pool_input(now, &pool, input, &mut self.effects);
        }
        for pool in changes.removed_pools {
            self.decisions.forget(&pool);
        }
        self.watch_runners();
        self.run_effects(cx);
        self.cluster_input(ClusterInput::Pools(self.runners.pools()), cx);
    }

    /// Asks for reports of the runners of the pools that this host owns.
    pub(super) fn watch_runners(&self) {
        if let Some(reports) = &self.reports {
            let owned = self.decisions.pools().map(|pool| &pool.settings().pool);
            reports.do_send(WatchRunners(self.runners.watched(owned)));
        }
    }

    fn submit(&mut self, submission: Submission) {
        let Submission { id, pool, decisions, .. } = &submission;
        self.workers.insert(*id, decisions.clone());
        let pool = pool.clone();
        let record = RequestRecord {
            id: *id,
            entry: self.host.clone(),
            workspace: submission.workspace,
            class: submission.class,
            tier: submission.tier,
            target: submission.target,
            age: Duration::ZERO,
            prefill_tokens: submission.prefill_tokens,
            max_decode_tokens: submission.max_decode_tokens,
            prefix: submission.prefix,
            body_bytes: submission.body_bytes,
        };
        let workspace = record.workspace.clone();
        let idempotent = submission.idempotent;
        let identity = submission.key.map(|given| Identity {
            key: RequestKey { workspace, key: given.key },
            digest: given.digest,
            idempotent,
        });
        let submission = owner::Submission { record, identity };
        let input = EntryInput::Received { submission, pool };
        self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
    }

    fn progress(&mut self, id: RequestId, progress: Progress) {
        let input = match progress {
            Progress::NotSent(reason) => EntryInput::NotSent { id, reason },
            Progress::FirstToken => EntryInput::FirstToken(id),
            Progress::RunnerLeaving => EntryInput::RunnerLeaving(id),
            Progress::Ended(end) => {
                self.workers.remove(&id);
                EntryInput::Ended { id, end }
            }
            Progress::CallerGone => {
                self.workers.remove(&id);
                EntryInput::CallerGone(id)
            }
        };
        self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
    }

    fn status(&self) -> ControlStatus {
        let entry = self.decisions.entry();
        let owned = self.decisions.pools().map(|pool| PoolStatus {
            pool: pool.settings().pool.clone(),
            epoch: pool.settings().epoch,
            waiting: pool.waiting(),
            in_progress: pool.in_progress(),
        });
        ControlStatus {
            host: self.host.clone(),
            config_version: self.document.version,
            waiting: entry.waiting(),
            in_progress: entry.in_progress(),
            owned: owned.collect(),
        }
    }

    pub(super) fn run_effects(&mut self, cx: &mut Context<Self>) {
        let mut effects = std::mem::take(&mut self.effects);
        while !effects.is_empty() {
            for effect in effects.drain(..) {
                self.run_effect(effect, cx);
            }
            std::mem::swap(&mut effects, &mut self.effects);
        }
        self.effects = effects;
    }

    fn run_effect(&mut self, effect: Effect, cx: &mut Context<Self>) {
        match effect {
            Effect::Dispatch { id, pool, runner, epoch } => {
                self.dispatch(id, &pool, runner, epoch);
            }
            Effect::NotRun { id, reason, retry_after } => {
                self.decide(id, Decision::NotRun { reason, retry_after });
            }
            Effect::Unknown { id, reason } => self.decide(id, Decision::Unknown { reason }),
            Effect::Attach { id, first, holder } if holder == self.host => {
                self.decide(id, Decision::Attach { id: first, holder: None });
            }
            Effect::Attach { id, first, holder } => self.attach_remote(id, first, &holder),
            Effect::Send { to, message } => self.send(&to, &message),
            Effect::StandbyReady { pool, host } => {
                self.cluster_input(ClusterInput::StandbyReady { pool, host }, cx);
            }
            Effect::WakeAt(at) => self.wake_at(at, cx),
        }
    }

    /// Tells a worker the last decision on its request.
    pub(super) fn decide(&mut self, id: RequestId, decision: Decision) {
        if let Some(tx) = self.workers.remove(&id) {
            // A closed channel means that the caller has gone already.
            let _ = tx.send(decision);
        }
    }

    fn dispatch(&mut self, id: RequestId, pool: &PoolId, runner: RunnerName, epoch: Epoch) {
        let address = self.runners.address(pool, &runner);
        let worker = self.workers.get(&id);
        let (Some(address), Some(tx)) = (address, worker) else {
            let input = EntryInput::NotSent { id, reason: RetryReason::RunnerLeaving };
            self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
            return;
        };
        if tx.send(Decision::Dispatch { runner, address, epoch }).is_err() {
            let now = self.clock.now();
            let reason = RetryReason::GrantExpired;
            self.decisions.entry_input(now, EntryInput::NotSent { id, reason }, &mut self.effects);
            self.decisions.entry_input(now, EntryInput::CallerGone(id), &mut self.effects);
            self.workers.remove(&id);
        }
    }

    pub(super) fn wake_at(&mut self, at: MonoTime, cx: &mut Context<Self>) {
        if self.wake.as_ref().is_some_and(|(earlier, _)| *earlier <= at) {
            return;
        }
        if let Some((_, handle)) = self.wake.take() {
            cx.cancel_future(handle);
        }
        let delay = at.since(self.clock.now());
        let handle = cx.run_later(delay, |control, cx| {
            control.wake = None;
            control.decisions.tick(control.clock.now(), &mut control.effects);
            control.run_effects(cx);
            control.cluster_input(ClusterInput::Tick, cx);
        });
        self.wake = Some((at, handle));
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        if let Some(queue) = self.queue.take() {
            let messages = stream::unfold(queue, |mut queue| async {
                queue.recv().await.map(|message| (message, queue))
            });
            cx.add_stream(messages);
        }
        let changes = stream::unfold(self.config.clone(), |mut rx| async {
            rx.changed().await.ok().map(|()| (ConfigChanged, rx))
        });
        cx.add_stream(changes);
        if let Some(events) = self.peer_events.take() {
            let events = stream::unfold(events, |mut events| async {
                events.recv().await.map(|event| (event, events))
            });
            cx.add_stream(events);
        }
        let owner = cx.address().recipient();
        self.start_lease(cx);
        self.reports = Some(ReportsActor::new(self.host_list.take(), owner).start());
        self.apply_config(cx);
    }
}

impl Handler<RunnerHeard> for Control {
    type Result = ();

    fn handle(&mut self, heard: RunnerHeard, cx: &mut Self::Context) {
        let RunnerHeard { pool, runner, news } = heard;
        let inputs = match news {
            RunnerNews::Load(report) => vec![PoolInput::Load { runner, report }],
            RunnerNews::Cache(event) => vec![PoolInput::Cache { runner, event }],
            RunnerNews::Leaving(leaving) => self.runners.hear_leaving(&pool, &runner, leaving),
        };
        for input in inputs {
            self.decisions.pool_input(self.clock.now(), &pool, input, &mut self.effects);
        }
        self.run_effects(cx);
    }
}

/// The configuration in force has changed.
struct ConfigChanged;

impl StreamHandler<ConfigChanged> for Control {
    fn handle(&mut self, _: ConfigChanged, cx: &mut Self::Context) {
        self.apply_config(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<WorkerMessage> for Control {
    fn handle(&mut self, message: WorkerMessage, cx: &mut Self::Context) {
        match message {
            WorkerMessage::Submit(submission) => self.submit(submission),
            WorkerMessage::Progress { id, progress } => self.progress(id, progress),
            WorkerMessage::Stop => {
                self.decisions.entry_input(self.clock.now(), EntryInput::Stop, &mut self.effects);
                self.cluster_input(ClusterInput::Stop, cx);
            }
            WorkerMessage::Status(reply) => {
                // A closed channel means that nobody waits for the status.
                let _ = reply.send(self.status());
            }
        }
        self.run_effects(cx);
    }

    fn finished(&mut self, cx: &mut Self::Context) {
        cx.stop();
    }
}
