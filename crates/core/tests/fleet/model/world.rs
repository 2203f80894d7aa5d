//! The hosts, their sessions and requests, and the steps that they can take.

use std::collections::{BTreeMap, VecDeque};

use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, HostSessions, PlacementReply, QuotaTolerance,
        RequestUpdate, RetryBudgetLimits, RunnerChange,
    },
    ids::{HostId, RequestId},
    outcome::RetryReason,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};

use crate::support::{at, entry, host, question};

mod sessions;

const HOSTS: usize = 2;
const MAX_REQUESTS: u128 = 3;
const MAX_SESSIONS: usize = 4;

/// What a host sends on a session.
#[derive(Clone, Debug)]
enum Up {
    Hello,
    Ask(RequestUpdate),
    End,
}

/// What a coordinator sends on a session.
#[derive(Clone, Debug)]
enum Down {
    Pong,
    Tell(PlacementReply),
    Leaving,
    End,
}

#[derive(Clone, Debug)]
struct Session {
    from: usize,
    to: usize,
    /// Who asked, and who was asked: a host that is killed comes as another one.
    asks: HostId,
    asked: HostId,
    up: VecDeque<Up>,
    down: VecDeque<Down>,
    /// Whether each side still holds it.
    from_holds: bool,
    to_holds: bool,
}

#[derive(Clone, Debug)]
struct Host {
    id: HostId,
    desk: CoordinatorClient,
    coordinator: Coordinator,
    /// The session with the coordinator that it asks, or is about to.
    link: Option<usize>,
    /// Sessions of the hosts that ask it.
    asking: HostSessions<usize>,
}

#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Waiting,
    Sent,
    Over,
    Refused,
}

#[derive(Clone, Debug)]
pub(super) struct World {
    now_ms: u64,
    hosts: Vec<Host>,
    sessions: Vec<Session>,
    requests: BTreeMap<RequestId, (usize, Fate)>,
    killed: bool,
    submitted: u128,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Submit(usize),
    Up(usize),
    Down(usize),
    Dial(usize),
    HostDrops(usize),
    CoordinatorDrops(usize),
    Ends(RequestId),
    NotRun(RequestId),
    Leaves(RequestId),
    Kill(usize),
}

impl Host {
    fn new(now: MonoTime, number: usize, incarnation: u64) -> Self {
        let id = HostId { incarnation, ..host(&format!("h{number}")) };
        let retry = RetryBudgetLimits { ratio: 0.2, slack: 1_000.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(retry, QuotaTolerance::default());
        coordinator.set_known_hosts(now, HOSTS);
        let news = [RunnerChange::Usable(entry("a", 1, false))];
        coordinator.apply_runner_changes(now, &news, &mut Vec::new());
        coordinator.local_host_joined(now, id.clone());
        Self {
            id,
            desk: CoordinatorClient::default(),
            coordinator,
            link: None,
            asking: HostSessions::default(),
        }
    }
}

impl World {
    pub(super) fn new() -> Self {
        let hosts = (0..HOSTS).map(|number| Host::new(at(1), number, 1)).collect();
        Self {
            now_ms: 1,
            hosts,
            sessions: Vec::new(),
            requests: BTreeMap::new(),
            killed: false,
            submitted: 0,
        }
    }

    fn now(&self) -> MonoTime {
        at(self.now_ms)
    }

    pub(super) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for host in 0..HOSTS {
            if self.submitted < MAX_REQUESTS {
                steps.push(Step::Submit(host));
            }
            let asked_by_other = self.hosts[host].asking.get(&self.hosts[1 - host].id).is_some();
            if self.hosts[host].link.is_none()
                && !asked_by_other
                && self.sessions.len() < MAX_SESSIONS
            {
                steps.push(Step::Dial(host));
            }
            if !self.killed {
                steps.push(Step::Kill(host));
            }
        }
        for (number, session) in self.sessions.iter().enumerate() {
            if session.to_holds && !session.up.is_empty() {
                steps.push(Step::Up(number));
            }
            if session.from_holds && !session.down.is_empty() {
                steps.push(Step::Down(number));
            }
            if session.from_holds {
                steps.push(Step::HostDrops(number));
            }
            if session.to_holds {
                steps.push(Step::CoordinatorDrops(number));
            }
        }
        for (id, (_, fate)) in &self.requests {
            match fate {
                Fate::Sent => steps.extend([Step::Ends(*id), Step::NotRun(*id)]),
                Fate::Waiting => steps.push(Step::Leaves(*id)),
                Fate::Over | Fate::Refused => {}
            }
        }
        steps
    }

    pub(super) fn take(&mut self, step: Step) {
        self.now_ms += 1;
        let now = self.now();
        let mut actions = Vec::new();
        match step {
            Step::Submit(host) => {
                self.submitted += 1;
                let mut question = question(self.submitted, 0.0);
                question.record.entry = self.hosts[host].id.clone();
                self.requests.insert(question.record.id, (host, Fate::Waiting));
                self.hosts[host].desk.submit(now, question, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Dial(from) => {
                let (up, down) = (VecDeque::from([Up::Hello]), VecDeque::new());
                let to = 1 - from;
                self.hosts[from].link = Some(self.sessions.len());
                self.sessions.push(Session {
                    from,
                    to,
                    asks: self.hosts[from].id.clone(),
                    asked: self.hosts[to].id.clone(),
                    up,
                    down,
                    from_holds: true,
                    to_holds: true,
                });
            }
            Step::Up(session) => self.deliver_up(session),
            Step::Down(session) => self.deliver_down(session),
            Step::HostDrops(session) => self.host_drops(session),
            Step::CoordinatorDrops(session) => self.coordinator_drops(session),
            Step::Ends(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, Fate::Over));
                let end = DispatchEnd::Complete(Usage::default());
                self.hosts[host].desk.ended(id, end, &mut actions);
                self.carry_out(host, actions);
            }
            Step::NotRun(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, Fate::Waiting));
                let reason = RetryReason::ConnectRefused;
                self.hosts[host].desk.requeue(id, reason, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Leaves(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, Fate::Over));
                self.hosts[host].desk.withdraw(id, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Kill(host) => self.kill(host),
        }
    }

    fn kill(&mut self, host: usize) {
        self.killed = true;
        for session in &mut self.sessions {
            if session.from == host && session.from_holds {
                session.from_holds = false;
                session.down.clear();
                session.up.push_back(Up::End);
            }
            if session.to == host && session.to_holds {
                session.to_holds = false;
                session.up.clear();
                session.down.push_back(Down::End);
            }
        }
        self.requests.retain(|_, (of, _)| *of != host);
        self.hosts[host] = Host::new(self.now(), host, 2);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<ClientAction>) {
        let now = self.now();
        for action in actions {
            match action {
                ClientAction::Send(None, ask) => {
                    let (me, mut tells) = (self.hosts[host].id.clone(), Vec::new());
                    self.hosts[host].coordinator.handle_update(now, &me, ask, &mut tells);
                    self.pass(host, tells);
                }
                ClientAction::Send(Some(to), ask) => {
                    let Some(link) = self.hosts[host].link else { continue };
                    if self.sessions[link].asked == to {
                        self.sessions[link].up.push_back(Up::Ask(ask));
                    }
                }
                ClientAction::Dispatch(id, _) => {
                    let fate = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*fate, Fate::Waiting, "{id} is sent");
                    *fate = Fate::Sent;
                }
                ClientAction::Refuse(id, ..) => {
                    let fate = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*fate, Fate::Waiting, "{id} is refused");
                    *fate = Fate::Refused;
                }
            }
        }
    }

    fn pass(&mut self, coordinator: usize, tells: Vec<(HostId, PlacementReply)>) {
        for (to, tell) in tells {
            if to == self.hosts[coordinator].id {
                let mut actions = Vec::new();
                self.hosts[coordinator].desk.handle_reply(None, tell, &mut actions);
                self.carry_out(coordinator, actions);
                continue;
            }
            if let Some(session) = self.hosts[coordinator].asking.get(&to) {
                self.sessions[*session].down.push_back(Down::Tell(tell));
            }
        }
    }

    /// Lets messages flow and runners answer until nothing changes, and checks
    /// what must be true then.
    pub(super) fn settle(mut self) {
        for _ in 0..400 {
            let now = self.now();
            for host in 0..HOSTS {
                let mut tells = Vec::new();
                self.hosts[host].coordinator.tick(now, &mut tells);
                self.pass(host, tells);
            }
            let flows = |step: &Step| matches!(step, Step::Up(_) | Step::Down(_) | Step::Ends(_));
            match self.steps().into_iter().find(flows) {
                Some(step) => self.take(step),
                None => self.now_ms += 100,
            }
        }
        for (id, (_, fate)) in &self.requests {
            assert!(matches!(fate, Fate::Over | Fate::Refused), "{id} is left {fate:?}");
        }
        for host in &self.hosts {
            for (upstream, ranking) in host.coordinator.schedulers() {
                let held: usize = ranking.runners().map(|(_, r)| r.in_progress()).sum();
                assert_eq!(held, 0, "{} holds places of {upstream} for nothing", host.id);
                assert_eq!(ranking.waiting(), 0, "{} keeps what nobody waits for", host.id);
            }
        }
    }
}
