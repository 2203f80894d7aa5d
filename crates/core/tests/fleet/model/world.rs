//! The hosts with their sessions and requests, and the possible steps.

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

use crate::support::{at, entry, host, placement_request};

mod sessions;

const HOSTS: usize = 2;
const MAX_REQUESTS: u128 = 3;
/// So little that some requests are refused after a rejection.
const RETRY_SLACK: f64 = 2.0;
const MAX_SESSIONS: usize = 4;

/// A message of a host on a session.
#[derive(Clone, Debug)]
enum ToCoordinator {
    Hello,
    Update(RequestUpdate),
    End,
}

/// A message of a coordinator on a session.
#[derive(Clone, Debug)]
enum ToHost {
    Pong,
    Reply(PlacementReply),
    Leaving,
    End,
}

#[derive(Clone, Debug)]
struct Session {
    from: usize,
    to: usize,
    /// Identities of both hosts when the session was opened. A killed host comes
    /// back with another one.
    client_id: HostId,
    coordinator_id: HostId,
    to_coordinator: VecDeque<ToCoordinator>,
    to_host: VecDeque<ToHost>,
    /// Whether the host has not closed the session.
    open_at_host: bool,
    /// Whether the coordinator has not closed the session.
    open_at_coordinator: bool,
}

#[derive(Clone, Debug)]
struct Host {
    id: HostId,
    client: CoordinatorClient,
    coordinator: Coordinator,
    /// The session with its remote coordinator, established or being opened.
    session_ix: Option<usize>,
    /// Sessions of its client hosts.
    client_sessions: HostSessions<usize>,
}

#[derive(Clone, Debug, PartialEq)]
enum RequestState {
    Waiting,
    Dispatched,
    Ended,
    Refused,
}

#[derive(Clone, Debug)]
pub(super) struct World {
    now_ms: u64,
    hosts: Vec<Host>,
    sessions: Vec<Session>,
    requests: BTreeMap<RequestId, (usize, RequestState)>,
    killed: bool,
    /// Incarnation of a host that comes back; hosts begin with 1.
    next_incarnation: u64,
    submitted: u128,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Submit(usize),
    DeliverToCoordinator(usize),
    DeliverToHost(usize),
    Connect(usize),
    CloseAtHost(usize),
    CloseAtCoordinator(usize),
    Complete(RequestId),
    Requeue(RequestId),
    Withdraw(RequestId),
    Kill(usize),
}

impl Host {
    fn new(now: MonoTime, number: usize, incarnation: u64) -> Self {
        let id = HostId { incarnation, ..host(&format!("h{number}")) };
        let retry = RetryBudgetLimits { ratio: 0.2, slack: RETRY_SLACK, window_s: 10.0 };
        let mut coordinator = Coordinator::new(retry, QuotaTolerance::default());
        let names: Vec<_> = (0..HOSTS).map(|number| host(&format!("h{number}")).name).collect();
        coordinator.set_registered_hosts(now, &names);
        let changes = [RunnerChange::Usable(entry("a", 1, false))];
        coordinator.apply_runner_changes(now, &changes, &mut Vec::new());
        coordinator.local_host_joined(now, id.clone());
        Self {
            id,
            client: CoordinatorClient::default(),
            coordinator,
            session_ix: None,
            client_sessions: HostSessions::default(),
        }
    }
}

impl World {
    pub(super) fn new(next_incarnation: u64) -> Self {
        let hosts = (0..HOSTS).map(|number| Host::new(at(1), number, 1)).collect();
        Self {
            now_ms: 1,
            hosts,
            sessions: Vec::new(),
            requests: BTreeMap::new(),
            killed: false,
            next_incarnation,
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
            let other_is_client =
                self.hosts[host].client_sessions.get(&self.hosts[1 - host].id).is_some();
            if self.hosts[host].session_ix.is_none()
                && !other_is_client
                && self.sessions.len() < MAX_SESSIONS
            {
                steps.push(Step::Connect(host));
            }
            if !self.killed {
                steps.push(Step::Kill(host));
            }
        }
        for (number, session) in self.sessions.iter().enumerate() {
            if session.open_at_coordinator && !session.to_coordinator.is_empty() {
                steps.push(Step::DeliverToCoordinator(number));
            }
            if session.open_at_host && !session.to_host.is_empty() {
                steps.push(Step::DeliverToHost(number));
            }
            if session.open_at_host {
                steps.push(Step::CloseAtHost(number));
            }
            if session.open_at_coordinator {
                steps.push(Step::CloseAtCoordinator(number));
            }
        }
        for (id, (_, state)) in &self.requests {
            match state {
                RequestState::Dispatched => steps.extend([Step::Complete(*id), Step::Requeue(*id)]),
                RequestState::Waiting => steps.push(Step::Withdraw(*id)),
                RequestState::Ended | RequestState::Refused => {}
            }
        }
        steps
    }

    pub(super) fn apply(&mut self, step: Step) {
        self.now_ms += 1;
        let now = self.now();
        let mut actions = Vec::new();
        match step {
            Step::Submit(host) => {
                self.submitted += 1;
                let mut placement_request = placement_request(self.submitted, 0.0);
                placement_request.record.entry = self.hosts[host].id.clone();
                self.requests.insert(placement_request.record.id, (host, RequestState::Waiting));
                self.hosts[host].client.submit(now, placement_request, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Connect(from) => {
                let (to_coordinator, to_host) =
                    (VecDeque::from([ToCoordinator::Hello]), VecDeque::new());
                let to = 1 - from;
                self.hosts[from].session_ix = Some(self.sessions.len());
                self.sessions.push(Session {
                    from,
                    to,
                    client_id: self.hosts[from].id.clone(),
                    coordinator_id: self.hosts[to].id.clone(),
                    to_coordinator,
                    to_host,
                    open_at_host: true,
                    open_at_coordinator: true,
                });
            }
            Step::DeliverToCoordinator(session) => self.deliver_to_coordinator(session),
            Step::DeliverToHost(session) => self.deliver_to_host(session),
            Step::CloseAtHost(session) => self.close_at_host(session),
            Step::CloseAtCoordinator(session) => self.close_at_coordinator(session),
            Step::Complete(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, RequestState::Ended));
                let end = DispatchEnd::Complete(Usage::default());
                self.hosts[host].client.ended(id, end, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Requeue(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, RequestState::Waiting));
                // Rejections spend the retry budget, which then refuses the request.
                let reason = match self.now_ms.is_multiple_of(2) {
                    true => RetryReason::TurnedAway,
                    false => RetryReason::ConnectRefused,
                };
                self.hosts[host].client.requeue(id, reason, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Withdraw(id) => {
                let host = self.requests[&id].0;
                self.requests.insert(id, (host, RequestState::Ended));
                self.hosts[host].client.withdraw(id, &mut actions);
                self.carry_out(host, actions);
            }
            Step::Kill(host) => self.kill(host),
        }
    }

    fn kill(&mut self, host: usize) {
        self.killed = true;
        for session in &mut self.sessions {
            if session.from == host && session.open_at_host {
                session.open_at_host = false;
                session.to_host.clear();
                session.to_coordinator.push_back(ToCoordinator::End);
            }
            if session.to == host && session.open_at_coordinator {
                session.open_at_coordinator = false;
                session.to_coordinator.clear();
                session.to_host.push_back(ToHost::End);
            }
        }
        self.requests.retain(|_, (of, _)| *of != host);
        self.hosts[host] = Host::new(self.now(), host, self.next_incarnation);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<ClientAction>) {
        let now = self.now();
        for action in actions {
            match action {
                ClientAction::Send(None, update) => {
                    let (me, mut replies) = (self.hosts[host].id.clone(), Vec::new());
                    self.hosts[host].coordinator.handle_update(now, &me, update, &mut replies);
                    self.deliver_replies(host, replies);
                }
                ClientAction::Send(Some(to), update) => {
                    let Some(session_ix) = self.hosts[host].session_ix else { continue };
                    if self.sessions[session_ix].coordinator_id == to {
                        self.sessions[session_ix]
                            .to_coordinator
                            .push_back(ToCoordinator::Update(update));
                    }
                }
                ClientAction::Dispatch(id, ..) => {
                    let state = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*state, RequestState::Waiting, "{id} is dispatched");
                    *state = RequestState::Dispatched;
                }
                ClientAction::Refuse(id, ..) => {
                    let state = &mut self.requests.get_mut(&id).unwrap().1;
                    assert_eq!(*state, RequestState::Waiting, "{id} is refused");
                    *state = RequestState::Refused;
                }
            }
        }
    }

    fn deliver_replies(&mut self, coordinator: usize, replies: Vec<(HostId, PlacementReply)>) {
        for (to, reply) in replies {
            if to == self.hosts[coordinator].id {
                let mut actions = Vec::new();
                self.hosts[coordinator].client.handle_reply(None, reply, &mut actions);
                self.carry_out(coordinator, actions);
                continue;
            }
            if let Some(session) = self.hosts[coordinator].client_sessions.get(&to) {
                self.sessions[*session].to_host.push_back(ToHost::Reply(reply));
            }
        }
    }

    /// Delivers all messages and completes all dispatched requests, then checks
    /// the invariants.
    pub(super) fn settle(mut self) {
        for _ in 0..400 {
            let now = self.now();
            for host in 0..HOSTS {
                let mut replies = Vec::new();
                self.hosts[host].coordinator.tick(now, &mut replies);
                self.deliver_replies(host, replies);
            }
            let is_delivery = |step: &Step| {
                matches!(
                    step,
                    Step::DeliverToCoordinator(_) | Step::DeliverToHost(_) | Step::Complete(_)
                )
            };
            match self.steps().into_iter().find(is_delivery) {
                Some(step) => self.apply(step),
                None => self.now_ms += 100,
            }
        }
        for (id, (_, state)) in &self.requests {
            assert!(
                matches!(state, RequestState::Ended | RequestState::Refused),
                "{id} is left {state:?}"
            );
        }
        for host in &self.hosts {
            for (upstream, scheduler) in host.coordinator.schedulers() {
                let in_progress: usize = scheduler.runners().map(|(_, r)| r.in_progress()).sum();
                assert_eq!(
                    in_progress, 0,
                    "{} occupies slots of {upstream} without a request",
                    host.id
                );
                assert_eq!(
                    scheduler.waiting(),
                    0,
                    "{} queues a request that no caller waits for",
                    host.id
                );
            }
        }
    }
}
