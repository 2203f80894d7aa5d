//! The actor that holds the scheduling state of this host.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::{Actor, AsyncContext, Context, SpawnHandle, StreamHandler};
use comfreyway_core::{
    fleet::{
        Coordinator, CoordinatorClient, CoordinatorSearch, HostSessions, Member, RunnerDirectory,
        ShareBasis, Suspect,
    },
    ids::{HostId, HostName, RequestId, UpstreamName},
    time::MonoTime,
};
use comfreyway_platform::{Revision, Store, Versioned};
use futures_util::stream;
use tokio::{
    sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender},
    task::JoinHandle,
};

use crate::{
    events::{Event, log_event},
    metrics::FleetMetrics,
};

use super::{
    feed::FeedUpdate,
    host_state::HostState,
    mirror::StoreMirror,
    platform_format::PlatformFormat,
    request_handle::{RequestDecision, WorkerMessage},
    sessions::SessionEvent,
    wire::{Frame, ToCoordinator},
};

mod absent_hosts;
mod coordination;
mod coordinator_session;
mod election;
mod execute;
mod quarantine;
mod rollback;
mod rollouts;
mod runner_limits;
mod runner_notices;
mod store_relay;
mod store_updates;
mod stream_items;
mod stream_versions;
#[cfg(test)]
mod tests;
mod version_record;

use self::{
    absent_hosts::AbsentHosts, election::OwnEntry, quarantine::QuarantineItem,
    rollback::MissingHosts, rollouts::AllRolloutItems, stream_items::UnstoredStreams,
};

/// Interval of the periodic checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the log lines on the load of upstreams.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// An open session with another host that coordinates.
struct CoordinatorSession {
    tx: Sender<ToCoordinator>,
    relay: StoreRelay,
    /// The view that the last pong before the end of a sync verified.
    verified: Option<VerifiedView>,
    /// Protocol of that host, known from its first pong on.
    protocol: u8,
}

impl CoordinatorSession {
    fn new(tx: Sender<ToCoordinator>) -> Self {
        Self { tx, relay: StoreRelay::Off, verified: None, protocol: 0 }
    }
}

/// A view of the store that a coordinator has verified as the newest.
#[derive(Clone, Copy, Debug)]
struct VerifiedView {
    /// All changes up to this one are known.
    revision: Revision,
    at: MonoTime,
}

/// Whether the coordinator sends this host the store's changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreRelay {
    /// Not requested.
    Off,
    /// A sync was requested.
    Requested,
    /// In sync: the coordinator sends every change.
    Active,
}

/// Progress of the feed with which this process started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstFeed {
    /// The store has not been listed yet.
    Started,
    /// The store was listed; the first watch follows after a pause.
    Listed,
    /// It watches or has ended.
    Ended,
}

/// The session with a client host.
struct ClientSession {
    tx: Sender<Frame>,
    /// True if the host receives every change of the store from this one.
    synced: bool,
    /// Protocol of that host.
    protocol: u8,
}

/// Receivers of the events that the actor handles.
pub(super) struct EventReceivers {
    pub(super) workers: UnboundedReceiver<WorkerMessage>,
    pub(super) sessions: UnboundedReceiver<SessionEvent>,
    pub(super) store: UnboundedReceiver<FeedUpdate>,
    pub(super) rollouts: UnboundedReceiver<ReadStatus>,
    pub(super) senders: EventSenders,
}

/// Schedules this host's requests, or those of all client hosts while this host
/// coordinates.
pub(super) struct FleetControl {
    me: Member,
    format: PlatformFormat,
    host_state: Arc<HostState>,
    store: Rc<dyn Store>,
    store_tx: UnboundedSender<FeedUpdate>,
    session_tx: UnboundedSender<SessionEvent>,
    receivers: Option<EventReceivers>,
    directory: RunnerDirectory,
    coordinator_client: CoordinatorClient<CoordinatorSession>,
    coordinator: Coordinator,
    metrics: FleetMetrics,
    members: BTreeMap<HostName, Member>,
    own_entry: OwnEntry,
    search: CoordinatorSearch,
    /// Sessions of the client hosts.
    clients: HostSessions<ClientSession>,
    decision_txs: HashMap<RequestId, UnboundedSender<RequestDecision>>,
    mirror: StoreMirror,
    /// Latest era of the store that an update was from.
    store_era: u64,
    missing_hosts: MissingHosts,
    absent_hosts: AbsentHosts,
    /// Client hosts that keep copies of what this coordinator knows of streams.
    copy_holders: Vec<HostId>,
    /// Retention of the store's record of versions, as this host last read it.
    recorded_retention: Duration,
    /// When this host last wrote that record.
    version_record_written: Option<MonoTime>,
    /// The store's items of suspects.
    quarantine_items: BTreeMap<Suspect, QuarantineItem>,
    /// When this host last wrote one of them.
    quarantine_written: Option<MonoTime>,
    unstored_streams: UnstoredStreams,
    /// Whether several versions served at the last check.
    was_mixed: Option<bool>,
    rollout_items: AllRolloutItems,
    /// Statuses of rollouts that were read by themselves.
    rollout_tx: UnboundedSender<ReadStatus>,
    logged_share: ShareBasis,
    /// Retries that were asked for by the last log line on each upstream's budget.
    logged_retries: BTreeMap<UpstreamName, u64>,
    first_feed: FirstFeed,
    /// True while the store has an older configuration than the one in force.
    stored_config_is_older: bool,
    /// This host's own feed, while it runs.
    feed: Option<JoinHandle<()>>,
    config_readable: bool,
    stopping: bool,
    timer: Option<(MonoTime, SpawnHandle)>,
}

/// Senders of the actor's own events.
pub(super) struct EventSenders {
    pub(super) store: UnboundedSender<FeedUpdate>,
    pub(super) sessions: UnboundedSender<SessionEvent>,
    pub(super) rollouts: UnboundedSender<ReadStatus>,
}

/// The status of an upstream's rollout, if the store has one.
pub(super) type ReadStatus = (UpstreamName, Option<Versioned>);

impl FleetControl {
    pub(super) fn new(
        me: Member,
        format: PlatformFormat,
        host_state: Arc<HostState>,
        store: Rc<dyn Store>,
        coordinator: Coordinator,
        metrics: FleetMetrics,
        receivers: EventReceivers,
    ) -> Self {
        Self {
            me,
            format,
            host_state,
            store,
            store_tx: receivers.senders.store.clone(),
            session_tx: receivers.senders.sessions.clone(),
            rollout_tx: receivers.senders.rollouts.clone(),
            receivers: Some(receivers),
            directory: RunnerDirectory::default(),
            coordinator_client: CoordinatorClient::default(),
            coordinator,
            metrics,
            members: BTreeMap::new(),
            own_entry: OwnEntry::Pending,
            search: CoordinatorSearch::default(),
            clients: HostSessions::default(),
            decision_txs: HashMap::new(),
            mirror: StoreMirror::default(),
            store_era: 0,
            missing_hosts: MissingHosts::default(),
            absent_hosts: AbsentHosts::default(),
            copy_holders: Vec::new(),
            recorded_retention: Duration::ZERO,
            version_record_written: None,
            quarantine_items: BTreeMap::new(),
            quarantine_written: None,
            unstored_streams: UnstoredStreams::default(),
            was_mixed: None,
            rollout_items: AllRolloutItems::new(),
            logged_share: ShareBasis::default(),
            logged_retries: BTreeMap::new(),
            first_feed: FirstFeed::Started,
            stored_config_is_older: false,
            feed: None,
            config_readable: true,
            stopping: false,
            timer: None,
        }
    }

    fn now(&self) -> MonoTime {
        self.host_state.clock.now()
    }

    fn handle_worker_message(&mut self, message: WorkerMessage) {
        let now = self.now();
        let mut actions = Vec::new();
        match message {
            WorkerMessage::Submit(placement, decision_tx) => {
                self.decision_txs.insert(placement.record.id, decision_tx);
                self.coordinator_client.submit(now, *placement, &mut actions);
            }
            WorkerMessage::Withdraw(id) => {
                self.decision_txs.remove(&id);
                self.coordinator_client.withdraw(id, &mut actions);
            }
            WorkerMessage::Requeue(id, reason) => {
                self.coordinator_client.requeue(id, reason, &mut actions)
            }
            WorkerMessage::FirstToken(id) => {
                self.record_own_stream(id);
                self.coordinator_client.first_token(id, &mut actions);
            }
            WorkerMessage::Ended(id, end) => {
                self.decision_txs.remove(&id);
                self.record_own_response(id, &end);
                self.coordinator_client.ended(id, end, &mut actions);
            }
            WorkerMessage::RunnerNotice(notice) => self.handle_own_notice(now, notice),
            WorkerMessage::RunnerLimit(report) => self.handle_own_limit(now, report),
            WorkerMessage::RunnerLoad(runner, load) => self.handle_own_load(now, runner, load),
        }
        self.execute(actions, Vec::new());
    }

    /// Completes the handling of a message.
    fn finish_message(&mut self, cx: &mut Context<Self>) {
        self.leave_failed_session();
        self.arm_timer(cx);
    }

    /// Arms the timer for the next change that only time causes at the
    /// coordinator.
    fn arm_timer(&mut self, cx: &mut Context<Self>) {
        let Some(at) = self.coordinator.next_wake(self.now()) else { return };
        if self.timer.as_ref().is_some_and(|(armed, _)| *armed <= at) {
            return;
        }
        if let Some((_, handle)) = self.timer.take() {
            cx.cancel_future(handle);
        }
        let wait = at.since(self.now());
        let handle = cx.run_later(wait, |control, cx| {
            control.timer = None;
            let mut replies = Vec::new();
            control.coordinator.tick(control.now(), &mut replies);
            control.execute(Vec::new(), replies);
            control.finish_message(cx);
        });
        self.timer = Some((at, handle));
    }
}

impl Actor for FleetControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        if let Some(receivers) = self.receivers.take() {
            cx.add_stream(receive(receivers.workers));
            cx.add_stream(receive(receivers.sessions));
            cx.add_stream(receive(receivers.store));
            cx.add_stream(receive(receivers.rollouts));
        }
        self.start_feed();
        self.end_session();
        cx.run_interval(CHECK_INTERVAL, |control, cx| {
            control.run_checks();
            control.finish_message(cx);
        });
        cx.run_interval(STATUS_INTERVAL, |control, _| {
            if control.coordinator_client.coordinator().is_some() {
                control.metrics.record_load(std::iter::empty());
                return;
            }
            control.metrics.record_load(control.coordinator.schedulers());
            for (upstream, scheduler) in control.coordinator.schedulers() {
                log_event!(Event::LoadStatus, upstream:% = upstream, load:% = scheduler);
            }
            for (upstream, budget) in control.coordinator.retry_budgets() {
                let logged = control.logged_retries.insert(upstream.clone(), budget.requests());
                if logged.unwrap_or_default() != budget.requests() {
                    log_event!(Event::RetryStatus, upstream:% = upstream, retries:% = budget);
                }
            }
        });
    }
}

fn receive<T>(rx: UnboundedReceiver<T>) -> impl futures_util::Stream<Item = T> {
    stream::unfold(rx, |mut rx| async { rx.recv().await.map(|message| (message, rx)) })
}

impl StreamHandler<WorkerMessage> for FleetControl {
    fn handle(&mut self, message: WorkerMessage, cx: &mut Self::Context) {
        self.handle_worker_message(message);
        self.finish_message(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<SessionEvent> for FleetControl {
    fn handle(&mut self, event: SessionEvent, cx: &mut Self::Context) {
        self.handle_session_event(event);
        self.finish_message(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<FeedUpdate> for FleetControl {
    fn handle(&mut self, update: FeedUpdate, cx: &mut Self::Context) {
        // Updates that this host's feed sent before it was stopped are still
        // valid.
        self.apply_update(update);
        self.finish_message(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<ReadStatus> for FleetControl {
    fn handle(&mut self, (upstream, item): ReadStatus, cx: &mut Self::Context) {
        self.apply_read_status(&upstream, item);
        self.finish_message(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

/// Starts the planned stop of this host.
#[derive(Debug)]
pub(super) struct BeginStop;

impl actix::Message for BeginStop {
    type Result = ();
}

impl actix::Handler<BeginStop> for FleetControl {
    type Result = ();

    fn handle(&mut self, _: BeginStop, cx: &mut Self::Context) {
        self.stopping = true;
        self.notify_not_coordinator();
        self.choose_coordinator();
        self.finish_message(cx);
    }
}
