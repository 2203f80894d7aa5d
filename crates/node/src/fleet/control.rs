//! The actor that holds the state of all decisions.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::{Actor, AsyncContext, Context, SpawnHandle, StreamHandler};
use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, HostSessions, Member, PlacementReply,
        RunnerDirectory, elect,
    },
    ids::{HostId, HostName, RequestId},
    outcome::RetryReason,
    time::MonoTime,
};
use comfreyway_platform::Store;
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
    feed::FeedNews,
    knowledge::Knowledge,
    mirror::Mirror,
    platform_format::PlatformFormat,
    sessions::{SessionEvent, dial},
    ticket::{Verdict, WorkerMessage},
    wire::{Frame, ToCoordinator, ToHost},
};

mod coordination;
mod relaying;
mod store_news;

/// Time between two looks at everything that changes by itself.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two lines on the load of the upstreams.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// The session with the coordinator that this host asks.
struct CoordinatorLink {
    host: HostId,
    /// None until the session is up.
    tx: Option<Sender<ToCoordinator>>,
    relay: Relay,
}

/// What comes from the coordinator instead of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Relay {
    /// Nothing.
    Off,
    /// What this host lacks was asked for.
    Asked,
    /// Every change.
    On,
}

/// A host that asks this one.
struct AskingHost {
    tx: Sender<Frame>,
    /// True if it hears of every change of the store.
    synced: bool,
}

/// Where events come from.
pub(super) struct Inlets {
    pub(super) workers: UnboundedReceiver<WorkerMessage>,
    pub(super) sessions: UnboundedReceiver<SessionEvent>,
    pub(super) store: UnboundedReceiver<FeedNews>,
    pub(super) outlets: Outlets,
}

/// Holds the state of all decisions of this host.
pub(super) struct FleetControl {
    me: Member,
    format: PlatformFormat,
    knowledge: Arc<Knowledge>,
    store: Rc<dyn Store>,
    store_tx: UnboundedSender<FeedNews>,
    session_tx: UnboundedSender<SessionEvent>,
    inlets: Option<Inlets>,
    directory: RunnerDirectory,
    desk: CoordinatorClient,
    coordinator: Coordinator,
    metrics: FleetMetrics,
    members: BTreeMap<HostName, Member>,
    /// Hosts that are not asked until the given time.
    suspects: BTreeMap<HostId, MonoTime>,
    link: Option<CoordinatorLink>,
    /// Hosts that ask this one.
    hosts: HostSessions<AskingHost>,
    workers: HashMap<RequestId, UnboundedSender<Verdict>>,
    mirror: Mirror,
    /// The own feed, while it runs.
    feed: Option<JoinHandle<()>>,
    plan_readable: bool,
    stopping: bool,
    wake: Option<(MonoTime, SpawnHandle)>,
}

/// Sending ends of the actor's own inlets.
pub(super) struct Outlets {
    pub(super) store: UnboundedSender<FeedNews>,
    pub(super) sessions: UnboundedSender<SessionEvent>,
}

impl FleetControl {
    pub(super) fn new(
        me: Member,
        format: PlatformFormat,
        knowledge: Arc<Knowledge>,
        store: Rc<dyn Store>,
        coordinator: Coordinator,
        metrics: FleetMetrics,
        inlets: Inlets,
    ) -> Self {
        Self {
            me,
            format,
            knowledge,
            store,
            store_tx: inlets.outlets.store.clone(),
            session_tx: inlets.outlets.sessions.clone(),
            inlets: Some(inlets),
            directory: RunnerDirectory::default(),
            desk: CoordinatorClient::default(),
            coordinator,
            metrics,
            members: BTreeMap::new(),
            suspects: BTreeMap::new(),
            link: None,
            hosts: HostSessions::default(),
            workers: HashMap::new(),
            mirror: Mirror::default(),
            feed: None,
            plan_readable: true,
            stopping: false,
            wake: None,
        }
    }

    fn now(&self) -> MonoTime {
        self.knowledge.clock.now()
    }

    /// Carries out what the desk and the coordinator have decided.
    fn carry_out(&mut self, actions: Vec<ClientAction>, tells: Vec<(HostId, PlacementReply)>) {
        let now = self.now();
        let mut actions = VecDeque::from(actions);
        let mut tells = VecDeque::from(tells);
        let mut more = Vec::new();
        let mut told = Vec::new();
        loop {
            if let Some((host, tell)) = tells.pop_front() {
                if host == self.me.id {
                    self.desk.handle_reply(None, tell, &mut more);
                } else {
                    self.introduce_runner(&host, &tell);
                    self.send_to_host(&host, &ToHost::Reply(tell));
                }
            } else if let Some(action) = actions.pop_front() {
                match action {
                    ClientAction::Send(None, ask) => {
                        self.coordinator.handle_update(now, &self.me.id, ask, &mut told);
                    }
                    ClientAction::Send(Some(host), ask) => {
                        self.send_to_coordinator(&host, ToCoordinator::Update(ask));
                    }
                    ClientAction::Dispatch(id, runner) => match self.directory.usable(&runner) {
                        Some(entry) => {
                            let verdict = Verdict::Dispatch(Box::new(entry.clone()));
                            self.decide(id, verdict);
                        }
                        None => self.desk.requeue(id, RetryReason::RunnerLeaving, &mut more),
                    },
                    ClientAction::Refuse(id, reason, after) => {
                        self.decide(id, Verdict::Refuse(reason, after));
                        self.workers.remove(&id);
                    }
                }
            } else {
                return;
            }
            actions.extend(more.drain(..));
            tells.extend(told.drain(..));
        }
    }

    fn decide(&self, id: RequestId, verdict: Verdict) {
        let Some(worker) = self.workers.get(&id) else { return };
        if worker.send(verdict).is_err() {
            log::debug!("request {id} was given up before its verdict");
        }
    }

    /// Arms the timer for the coordinator's next change by itself.
    fn arm(&mut self, cx: &mut Context<Self>) {
        let Some(at) = self.coordinator.next_wake(self.now()) else { return };
        if self.wake.as_ref().is_some_and(|(armed, _)| *armed <= at) {
            return;
        }
        if let Some((_, handle)) = self.wake.take() {
            cx.cancel_future(handle);
        }
        let wait = at.since(self.now());
        let handle = cx.run_later(wait, |control, cx| {
            control.wake = None;
            let mut tells = Vec::new();
            control.coordinator.tick(control.now(), &mut tells);
            control.carry_out(Vec::new(), tells);
            control.arm(cx);
        });
        self.wake = Some((at, handle));
    }
}

impl Actor for FleetControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        if let Some(inlets) = self.inlets.take() {
            cx.add_stream(receive(inlets.workers));
            cx.add_stream(receive(inlets.sessions));
            cx.add_stream(receive(inlets.store));
        }
        self.start_feed();
        self.follow_own();
        cx.run_interval(REVIEW_INTERVAL, Self::review);
        cx.run_interval(STATUS_INTERVAL, |control, _| {
            if control.desk.coordinator().is_some() {
                control.metrics.record_load(std::iter::empty());
                return;
            }
            control.metrics.record_load(control.coordinator.schedulers());
            for (upstream, ranking) in control.coordinator.schedulers() {
                log_event!(Event::LoadStatus, upstream:% = upstream, load:% = ranking);
            }
        });
    }
}

fn receive<T>(rx: UnboundedReceiver<T>) -> impl futures_util::Stream<Item = T> {
    stream::unfold(rx, |mut rx| async { rx.recv().await.map(|message| (message, rx)) })
}

impl StreamHandler<WorkerMessage> for FleetControl {
    fn handle(&mut self, message: WorkerMessage, cx: &mut Self::Context) {
        let now = self.now();
        let mut actions = Vec::new();
        match message {
            WorkerMessage::Submit(question, verdicts) => {
                self.workers.insert(question.record.id, verdicts);
                self.desk.submit(now, *question, &mut actions);
            }
            WorkerMessage::Withdraw(id) => {
                self.workers.remove(&id);
                self.desk.withdraw(id, &mut actions);
            }
            WorkerMessage::NotRun(id, reason) => self.desk.requeue(id, reason, &mut actions),
            WorkerMessage::FirstToken(id) => self.desk.first_token(id, &mut actions),
            WorkerMessage::Ended(id, end) => {
                self.workers.remove(&id);
                self.desk.ended(id, end, &mut actions);
            }
            WorkerMessage::RunnerEnded(key) => {
                let mut news = Vec::new();
                self.directory.end_run(&key, &mut news);
                self.runner_news(news);
            }
        }
        self.carry_out(actions, Vec::new());
        self.arm(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<SessionEvent> for FleetControl {
    fn handle(&mut self, event: SessionEvent, cx: &mut Self::Context) {
        self.session_event(event);
        self.arm(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<FeedNews> for FleetControl {
    fn handle(&mut self, news: FeedNews, cx: &mut Self::Context) {
        // News that the own feed had sent before it was stopped are still true.
        self.store_news(news);
        self.arm(cx);
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

/// This host begins its planned stop.
#[derive(Debug)]
pub(super) struct BeginStop;

impl actix::Message for BeginStop {
    type Result = ();
}

impl actix::Handler<BeginStop> for FleetControl {
    type Result = ();

    fn handle(&mut self, _: BeginStop, _: &mut Self::Context) {
        self.stopping = true;
        self.tell_leaving();
        self.choose_coordinator();
    }
}

impl FleetControl {
    fn dial(&mut self, to: &Member) {
        log_event!(Event::CoordinatorChosen, host:% = to.id, address:% = to.address);
        self.link = Some(CoordinatorLink { host: to.id.clone(), tx: None, relay: Relay::Off });
        actix_rt::spawn(dial(
            self.me.id.clone(),
            to.clone(),
            self.knowledge.clock,
            self.session_tx.clone(),
        ));
    }

    /// Tells the hosts that ask this one to ask another.
    fn tell_leaving(&self) {
        let Some(frame) = coordination::frame(&ToHost::Leaving) else { return };
        for (_, host) in self.hosts.iter() {
            if host.tx.try_send(frame.clone()).is_err() {
                log::debug!("a host can't be told to leave; its session will end");
            }
        }
    }

    fn elected(&self, now: MonoTime) -> Option<Member> {
        let suspected = |id: &HostId| self.suspects.get(id).is_some_and(|until| now < *until);
        let others = self.members.values().filter(|m| m.id.name != self.me.id.name);
        // A host that asks this one coordinates nobody.
        let others = others.filter(|member| self.hosts.get(&member.id).is_none());
        let others = others.filter(|member| !suspected(&member.id));
        let me = (!self.stopping && !suspected(&self.me.id)).then_some(&self.me);
        elect(others.chain(me)).cloned()
    }
}
