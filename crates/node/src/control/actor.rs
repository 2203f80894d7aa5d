//! The actor that runs on the control thread.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
};

use actix::{
    Actor, ActorContext, Addr, AsyncContext, Context, Handler, SpawnHandle, StreamHandler,
};
use comfreyway_core::{
    cluster::ClusterInput,
    config::Document,
    entry::EntryInput,
    ids::{HostId, HostName, PoolId, RequestId, RunnerName},
    pool::{LoadReport, PoolInput},
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
    reports::{ReportsActor, RunnerEvent, RunnerEventKind, WatchRunners},
};

use super::{
    Clock, ControlStatus, Decision, PoolStatus, WorkerMessage, decisions::Decisions,
    effect::Effect, ownership::Ownership, runners::PoolRunners,
};

/// Connects this host's scheduling state to its workers, runner reports, peers,
/// configuration and the key-value service.
pub struct ControlActor {
    pub(super) clock: Clock,
    pub(super) host: HostId,
    config: watch::Receiver<Arc<Document>>,
    document: Arc<Document>,
    pub(super) runners: PoolRunners,
    pub(super) decisions: Decisions,
    pub(super) workers: HashMap<RequestId, UnboundedSender<Decision>>,
    queue: Option<UnboundedReceiver<WorkerMessage>>,
    pub(super) effects: Vec<Effect>,
    pub(super) armed_timer: Option<(MonoTime, SpawnHandle)>,
    pub(super) timer_times: BTreeSet<MonoTime>,
    host_list: Option<Rc<dyn HostList>>,
    reports: Option<Addr<ReportsActor>>,
    pub(super) peers: Option<PeersHandle>,
    peer_events: Option<Receiver<PeerEvent>>,
    pub(super) ownership: Ownership,
}

impl ControlActor {
    /// Creates an actor that reads workers' messages from `queue`.
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
            armed_timer: None,
            timer_times: BTreeSet::new(),
            host_list: None,
            reports: None,
            peers: None,
            peer_events: None,
            ownership,
        }
    }

    /// Coordinates the ownership of pools with other hosts through `kv`. `peers`
    /// are the other hosts named in the settings. By default the host owns every
    /// pool.
    #[must_use]
    pub fn with_key_value(mut self, kv: Rc<dyn KeyValue>, peers: BTreeSet<HostName>) -> Self {
        self.ownership = Ownership::new(self.host.clone(), kv, peers);
        self
    }

    /// Exchanges messages with peers: sends through `peers`, receives `events`.
    #[must_use]
    pub fn with_peers(mut self, peers: PeersHandle, events: Receiver<PeerEvent>) -> Self {
        self.peers = Some(peers);
        self.peer_events = Some(events);
        self
    }

    /// Reads from this host list which runners are leaving.
    #[must_use]
    pub fn with_host_list(mut self, host_list: Rc<dyn HostList>) -> Self {
        self.host_list = Some(host_list);
        self
    }

    /// Applies the configuration in force to the pools.
    fn apply_config(&mut self, cx: &mut Context<Self>) {
        self.document = self.config.borrow_and_update().clone();
        let now = self.clock.now();
        let changes = self.runners.update(&self.document);
        for (pool, input) in changes.inputs {
            self.decisions.pool_input(now, &pool, input, &mut self.effects);
        }
        for pool in changes.removed_pools {
            self.decisions.remove_pool(&pool);
        }
        self.watch_runners();
        self.run_effects(cx);
        self.cluster_input(ClusterInput::PoolsConfigured(self.runners.pools()), cx);
    }

    /// Sets the runners to poll for reports: those of the pools that this host
    /// owns.
    pub(super) fn watch_runners(&self) {
        if let Some(reports) = &self.reports {
            let owned = self.decisions.pools().map(|pool| &pool.settings().pool);
            reports.do_send(WatchRunners(self.runners.watched_runners(owned)));
        }
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
            Effect::RespondNotRun { id, reason, retry_after } => {
                self.send_final_decision(id, Decision::NotRun { reason, retry_after });
            }
            Effect::RespondUnknown { id, reason } => {
                self.send_final_decision(id, Decision::Unknown { reason })
            }
            Effect::Attach { id, first, holder } if holder == self.host => {
                self.send_final_decision(id, Decision::Attach { id: first, holder: None });
            }
            Effect::Attach { id, first, holder } => self.attach_remote(id, first, &holder),
            Effect::Send { to, message } => self.send(&to, &message),
            Effect::StandbyReady { pool, host } => {
                self.cluster_input(ClusterInput::StandbyReady { pool, host }, cx);
            }
            Effect::SetTimer(at) => self.set_timer(at, cx),
        }
    }
}

impl Actor for ControlActor {
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

impl ControlActor {
    /// Returns the inputs for a load report. If the pool counts the runner as
    /// leaving because of a response to a request, and no source says so now, the
    /// first input puts the runner back into use.
    fn load_inputs(&self, pool: &PoolId, runner: RunnerName, report: LoadReport) -> Vec<PoolInput> {
        let returned = match self.decisions.is_leaving(pool, &runner) {
            true => self.runners.return_input(pool, &runner),
            false => None,
        };
        returned.into_iter().chain([PoolInput::Load { runner, report }]).collect()
    }
}

impl Handler<RunnerEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, event: RunnerEvent, cx: &mut Self::Context) {
        let RunnerEvent { pool, runner, kind } = event;
        let inputs = match kind {
            RunnerEventKind::Load(report) => self.load_inputs(&pool, runner, report),
            RunnerEventKind::Cache(event) => vec![PoolInput::Cache { runner, event }],
            RunnerEventKind::Leaving(leaving) => {
                self.runners.set_reported_leaving(&pool, &runner, leaving)
            }
        };
        for input in inputs {
            self.decisions.pool_input(self.clock.now(), &pool, input, &mut self.effects);
        }
        self.run_effects(cx);
    }
}

/// Sent when the configuration in force changes.
struct ConfigChanged;

impl StreamHandler<ConfigChanged> for ControlActor {
    fn handle(&mut self, _: ConfigChanged, cx: &mut Self::Context) {
        self.apply_config(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<WorkerMessage> for ControlActor {
    fn handle(&mut self, message: WorkerMessage, cx: &mut Self::Context) {
        match message {
            WorkerMessage::Submit(submission) => self.submit(submission),
            WorkerMessage::Progress { id, progress } => self.progress(id, progress),
            WorkerMessage::Stop => {
                self.decisions.entry_input(self.clock.now(), EntryInput::Stop, &mut self.effects);
                self.cluster_input(ClusterInput::Stop, cx);
            }
            WorkerMessage::Status(reply) => {
                // The receiver is closed if its caller no longer waits.
                let _ = reply.send(self.status());
            }
        }
        self.run_effects(cx);
    }

    fn finished(&mut self, cx: &mut Self::Context) {
        cx.stop();
    }
}
