//! Two hosts and their coordinators, in all orders of a few steps and in random
//! orders of many: messages that wait, sessions that one side gives up before
//! the other, hosts that are killed, callers that leave.
//!
//! A request is never at two runners, or at a second one unless the first did
//! not run it; what was refused is not sent; and once messages flow again each
//! request gets its answer and no coordinator holds a place for nothing.

use std::{
    collections::{BTreeMap, VecDeque},
    panic::{AssertUnwindSafe, catch_unwind},
};

use comfreyway_core::{
    fleet::{
        Ask, AskingHosts, Coordinator, Desk, DeskAction, QuotaRule, RetryRule, RunnerNews,
        SessionUp, Tell,
    },
    ids::{HostId, RequestId},
    outcome::RetryReason,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::support::{at, entry, host, question};

const HOSTS: usize = 2;
const MAX_REQUESTS: u128 = 3;
const MAX_SESSIONS: usize = 4;

/// What a host sends on a session.
#[derive(Clone, Debug)]
enum Up {
    Hello,
    Ask(Ask),
    End,
}

/// What a coordinator sends on a session.
#[derive(Clone, Debug)]
enum Down {
    Pong,
    Tell(Tell),
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
    desk: Desk,
    coordinator: Coordinator,
    /// The session with the coordinator that it asks, or is about to.
    link: Option<usize>,
    /// Sessions of the hosts that ask it.
    asking: AskingHosts<usize>,
}

#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Waiting,
    Sent,
    Over,
    Refused,
}

#[derive(Clone, Debug)]
struct World {
    now_ms: u64,
    hosts: Vec<Host>,
    sessions: Vec<Session>,
    requests: BTreeMap<RequestId, (usize, Fate)>,
    killed: bool,
    submitted: u128,
}

#[derive(Clone, Copy, Debug)]
enum Step {
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
        let retry = RetryRule { ratio: 0.2, slack: 1_000.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(retry, QuotaRule::default());
        coordinator.set_known_hosts(now, HOSTS);
        let news = [RunnerNews::Up(entry("a", 1, false))];
        coordinator.runner_news(now, &news, &mut Vec::new());
        coordinator.begin(now, id.clone());
        Self { id, desk: Desk::default(), coordinator, link: None, asking: AskingHosts::default() }
    }
}

impl World {
    fn new() -> Self {
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

    fn steps(&self) -> Vec<Step> {
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

    fn take(&mut self, step: Step) {
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
                self.hosts[host].desk.not_run(id, reason, &mut actions);
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

    /// The host that asks gives a session up, and decides by itself.
    fn host_drops(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        let from = session.from;
        session.from_holds = false;
        session.down.clear();
        session.up.push_back(Up::End);
        if self.hosts[from].link == Some(number) {
            self.hosts[from].link = None;
            self.follow_own(from);
        }
    }

    fn follow_own(&mut self, number: usize) {
        let (now, mut actions) = (self.now(), Vec::new());
        let host = &mut self.hosts[number];
        host.coordinator.begin(now, host.id.clone());
        host.desk.follow(now, None, &mut actions);
        self.carry_out(number, actions);
    }

    /// The coordinator hears nothing of a host any more.
    fn coordinator_drops(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        session.to_holds = false;
        session.up.clear();
        session.down.push_back(Down::End);
        self.host_left(number);
    }

    fn host_left(&mut self, number: usize) {
        let Session { to, asks, .. } = self.sessions[number].clone();
        if self.hosts[to].asking.down(&asks, number as u64) {
            self.forget(to, &asks);
        }
    }

    fn forget(&mut self, to: usize, asks: &HostId) {
        let (now, mut tells) = (self.now(), Vec::new());
        self.hosts[to].coordinator.host_left(now, asks, &mut tells);
        self.pass(to, tells);
    }

    fn follows_other(&self, host: usize) -> bool {
        self.hosts[host].desk.coordinator().is_some()
    }

    fn deliver_up(&mut self, number: usize) {
        let Some(message) = self.sessions[number].up.pop_front() else { return };
        let Session { to, asks, .. } = self.sessions[number].clone();
        let (now, mut tells) = (self.now(), Vec::new());
        match message {
            Up::Hello => {
                match self.hosts[to].asking.up(&asks, number as u64, number) {
                    SessionUp::First => {}
                    SessionUp::Replaces => self.forget(to, &asks),
                    SessionUp::TooLate => {
                        self.coordinator_drops(number);
                        return;
                    }
                }
                if self.follows_other(to) {
                    self.sessions[number].down.push_back(Down::Leaving);
                } else {
                    self.hosts[to].coordinator.host_joined(now, asks);
                }
                self.sessions[number].down.push_back(Down::Pong);
            }
            Up::Ask(_) if self.follows_other(to) => {}
            Up::Ask(ask) => {
                if self.hosts[to].asking.is_present(&asks, number as u64) {
                    self.hosts[to].coordinator.ask(now, &asks, ask, &mut tells);
                    self.pass(to, tells);
                }
            }
            Up::End => {
                self.sessions[number].to_holds = false;
                self.host_left(number);
            }
        }
    }

    fn deliver_down(&mut self, number: usize) {
        let Some(message) = self.sessions[number].down.pop_front() else { return };
        let Session { from, asked: coordinator, .. } = self.sessions[number].clone();
        match message {
            Down::Pong => {
                if self.hosts[from].link == Some(number) {
                    self.follow_other(from, coordinator);
                }
            }
            Down::Tell(tell) => {
                let mut actions = Vec::new();
                self.hosts[from].desk.told(Some(&coordinator), tell, &mut actions);
                self.carry_out(from, actions);
            }
            Down::Leaving | Down::End => self.host_drops(number),
        }
    }

    fn follow_other(&mut self, from: usize, coordinator: HostId) {
        if self.hosts[from].desk.coordinator() == Some(&coordinator) {
            return;
        }
        let (now, mut actions, mut tells) = (self.now(), Vec::new(), Vec::new());
        self.hosts[from].desk.follow(now, Some(coordinator), &mut actions);
        self.carry_out(from, actions);
        let me = self.hosts[from].id.clone();
        self.hosts[from].coordinator.host_left(now, &me, &mut tells);
        self.pass(from, tells);
        for (_, session) in self.hosts[from].asking.iter() {
            self.sessions[*session].down.push_back(Down::Leaving);
        }
    }

    fn carry_out(&mut self, host: usize, actions: Vec<DeskAction>) {
        let now = self.now();
        for action in actions {
            match action {
                DeskAction::Ask(None, ask) => {
                    let (me, mut tells) = (self.hosts[host].id.clone(), Vec::new());
                    self.hosts[host].coordinator.ask(now, &me, ask, &mut tells);
                    self.pass(host, tells);
                }
                DeskAction::Ask(Some(to), ask) => {
                    let Some(link) = self.hosts[host].link else { continue };
                    if self.sessions[link].asked == to {
                        self.sessions[link].up.push_back(Up::Ask(ask));
                    }
                }
                DeskAction::Dispatch(id, _) => {
                    let fate = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*fate, Fate::Waiting, "{id} is sent");
                    *fate = Fate::Sent;
                }
                DeskAction::Refuse(id, ..) => {
                    let fate = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*fate, Fate::Waiting, "{id} is refused");
                    *fate = Fate::Refused;
                }
            }
        }
    }

    fn pass(&mut self, coordinator: usize, tells: Vec<(HostId, Tell)>) {
        for (to, tell) in tells {
            if to == self.hosts[coordinator].id {
                let mut actions = Vec::new();
                self.hosts[coordinator].desk.told(None, tell, &mut actions);
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
    fn settle(mut self) {
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
            for (upstream, ranking) in host.coordinator.rankings() {
                let held: usize = ranking.runners().map(|(_, r)| r.in_progress()).sum();
                assert_eq!(held, 0, "{} holds places of {upstream} for nothing", host.id);
                assert_eq!(ranking.waiting(), 0, "{} keeps what nobody waits for", host.id);
            }
        }
    }
}

/// Lets a world settle, and names the way to it if that shows a broken promise.
fn check(world: &World, way: &[Step]) {
    let settled = catch_unwind(AssertUnwindSafe(|| world.clone().settle()));
    assert!(settled.is_ok(), "after {way:?}");
}

/// Plays all orders of so many steps after a start.
fn all_orders(world: &World, way: &mut Vec<Step>, depth: usize) {
    check(world, way);
    if depth == 0 {
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        next.take(step);
        way.push(step);
        all_orders(&next, way, depth - 1);
        way.pop();
    }
}

/// From nothing, and from a host that asks the other one with a request under
/// way and another one waiting.
#[rstest]
#[case::at_the_start(&[], 4)]
#[case::while_one_asks(
    &[Step::Dial(0), Step::Up(0), Step::Down(0), Step::Submit(0), Step::Up(0), Step::Down(0),
      Step::Submit(0), Step::Up(0)],
    4
)]
fn no_order_of_a_few_steps_breaks_a_promise(#[case] start: &[Step], #[case] depth: usize) {
    let mut world = World::new();
    start.iter().for_each(|step| world.take(*step));
    all_orders(&world, &mut start.to_vec(), depth);
}

#[test]
fn no_long_walk_breaks_a_promise() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new();
        let mut walk = Vec::new();
        for _ in 0..rng.random_range(5..40) {
            let steps = world.steps();
            // Messages flow more often than anything else happens.
            let flow: Vec<_> =
                steps.iter().filter(|s| matches!(s, Step::Up(_) | Step::Down(_))).collect();
            let step = match !flow.is_empty() && rng.random_bool(0.5) {
                true => *flow[rng.random_range(0..flow.len())],
                false if steps.is_empty() => break,
                false => steps[rng.random_range(0..steps.len())],
            };
            walk.push(step);
            world.take(step);
        }
        check(&world, &walk);
    }
}
