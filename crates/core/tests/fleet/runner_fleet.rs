//! Hosts with their coordinators, runners that crash or name rate limits, and callers
//! whose prompts share parts.

mod hosts;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, LimitReport, PlacementReply, PromptPart,
        QuotaTolerance, RetryBudgetLimits, RunnerChange, RunnerEntry, Suspect, SuspectRecord,
    },
    ids::{HostId, RequestId, RunnerName},
    outcome::RetryReason,
    request::{DispatchEnd, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::support::{self, at, entry, placement_request};

const STEP_MS: u64 = 10;
const HOSTS: usize = 6;
const RUNNERS: usize = 12;
const SLOTS: u32 = 5;
const FIRST_PORT: u16 = 8_000;
/// Time from a crash to the removal of the store's entry, and to the next start.
const REMOVAL_MS: u64 = 3_000;
const RESTART_MS: u64 = 3_400;
/// Time from the first token to the crash.
const CRASH_MS: u64 = 60;
const CONTACT_MS: u64 = 3_000;
/// When prompts with crashing parts begin.
const BEGIN_MS: u64 = 5_000;
const SHARE_INTERVAL_MS: u64 = 100;
pub(crate) const PLAY_MS: u64 = 40_000;
/// Sound requests later than this are not counted.
const LAST_COUNTED_MS: u64 = PLAY_MS - 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Faults {
    None,
    /// Runners crash, one or several at a time, and connections break.
    Runners,
    /// Also hosts and coordinators are killed.
    Hosts,
    /// Hosts and coordinators are killed, and hosts are cut off from the others.
    Cuts,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) crashes: usize,
    pub(crate) quarantined: usize,
    /// Sound requests later than twice the contact time after the fifth crash, and
    /// those that began.
    pub(crate) sound_late: usize,
    pub(crate) sound_began_late: usize,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.crashes += other.crashes;
        self.quarantined += other.quarantined;
        self.sound_late += other.sound_late;
        self.sound_began_late += other.sound_began_late;
    }
}

struct Node {
    id: HostId,
    coordinator: Coordinator,
    client: CoordinatorClient,
}

/// A request at a runner.
struct Run {
    id: RequestId,
    host: usize,
    sent_ms: u64,
    first_ms: u64,
    end_ms: u64,
    /// True if it has brought its first token.
    begun: bool,
}

struct Runner {
    entry: RunnerEntry,
    runs: Vec<Run>,
    crashed_ms: Option<u64>,
    removed: bool,
    /// Rate limit that it names, and since when.
    limit: Option<(f64, u64)>,
    arrivals: Vec<u64>,
}

struct Request {
    host: usize,
    parts: Vec<PromptPart>,
    attempts: u32,
    sent_ms: u64,
}

pub(crate) struct Fleet {
    rng: StdRng,
    pub(crate) now_ms: u64,
    faults: Faults,
    /// Crashing parts with their positions.
    crashing: Vec<(PromptPart, usize)>,
    nodes: Vec<Node>,
    /// The host that coordinates.
    leader: usize,
    /// Hosts that use their own coordinators.
    cut: BTreeSet<usize>,
    /// Suspects in the store.
    suspects: BTreeMap<Suspect, SuspectRecord>,
    /// One of this many steps brings a sound request.
    pub(crate) steps_per_request: u32,
    runners: BTreeMap<RunnerName, Runner>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests of the callers' sessions, by their part.
    sessions: Vec<(u64, u64)>,
    /// Crashes and arrivals of each crashing part.
    part_crashes: BTreeMap<PromptPart, Vec<u64>>,
    part_arrivals: BTreeMap<PromptPart, Vec<u64>>,
    numbers: u64,
    /// Number of runners that were started.
    started: u16,
    pub(crate) counts: Counts,
}

fn new_node(host: usize, now_ms: u64) -> Node {
    let id = HostId { incarnation: now_ms, ..support::host(&format!("h{host}")) };
    let retries = RetryBudgetLimits { ratio: 1.0, slack: 1_000.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
    let names: Vec<_> = (0..HOSTS).map(|host| support::host(&format!("h{host}")).name).collect();
    coordinator.set_registered_hosts(at(now_ms), &names);
    coordinator.local_host_joined(at(now_ms), id.clone());
    Node { id, coordinator, client: CoordinatorClient::default() }
}

impl Fleet {
    pub(crate) fn new(seed: u64, crashing: &[(u64, usize)], faults: Faults) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            faults,
            crashing: crashing.iter().map(|(part, at)| (PromptPart(*part), *at)).collect(),
            nodes: (0..HOSTS).map(|host| new_node(host, 1_000)).collect(),
            leader: 0,
            cut: BTreeSet::new(),
            suspects: BTreeMap::new(),
            steps_per_request: 5,
            runners: BTreeMap::new(),
            requests: BTreeMap::new(),
            sessions: Vec::new(),
            part_crashes: BTreeMap::new(),
            part_arrivals: BTreeMap::new(),
            numbers: 0,
            started: 0,
            counts: Counts::default(),
        };
        (0..RUNNERS).for_each(|_| fleet.start_runner());
        fleet.elect(0);
        fleet
    }

    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.update_runners();
        self.inject_faults();
        if self.rng.random_range(0..self.steps_per_request) == 0 {
            self.send_sound();
        }
        for number in 0..self.crashing.len() {
            if self.now_ms > BEGIN_MS && self.rng.random_range(0..25) == 0 {
                self.send_crashing(number);
            }
        }
        for host in 0..HOSTS {
            let mut replies = Vec::new();
            let (now, coordinator) = (at(self.now_ms), &mut self.nodes[host].coordinator);
            coordinator.set_verified(now, now, &mut replies);
            coordinator.tick(now, &mut replies);
            self.execute(host, Vec::new(), replies);
        }
        if self.now_ms.is_multiple_of(SHARE_INTERVAL_MS) {
            self.share_suspects();
        }
    }

    /// Parts that are quarantined and don't crash runners.
    pub(crate) fn wrongly_quarantined(&mut self) -> Vec<Suspect> {
        let quarantine = self.nodes[self.leader].coordinator.quarantine();
        let suspects: Vec<_> = quarantine.quarantined().map(|(suspect, _)| suspect).collect();
        self.counts.quarantined = suspects.len();
        let is_crashing = |suspect: &Suspect| match suspect {
            Suspect::Part(part) => self.is_crashing(part),
        };
        suspects.into_iter().filter(|suspect| !is_crashing(suspect)).collect()
    }

    /// Requests with each crashing part that runners got too late.
    pub(crate) fn late_arrivals(&self) -> Vec<(PromptPart, usize)> {
        let late = |part: &PromptPart, fifth: u64| {
            let arrivals = self.part_arrivals[part].iter();
            arrivals.filter(|at| **at > fifth + CONTACT_MS).count()
        };
        let crashes = self.part_crashes.iter();
        let fifths = crashes.filter_map(|(part, at)| at.get(4).map(|fifth| (*part, *fifth)));
        fifths.map(|(part, fifth)| (part, late(&part, fifth))).collect()
    }

    fn is_crashing(&self, part: &PromptPart) -> bool {
        self.crashing.iter().any(|(crashing, _)| crashing == part)
    }

    fn start_runner(&mut self) {
        self.numbers += 1;
        let address = SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + self.started));
        self.started += 1;
        let name = format!("r{}", self.numbers);
        let entry = RunnerEntry { slots: SLOTS, address, ..entry(&name, 1, false) };
        self.runner_changed(RunnerChange::Usable(entry.clone()));
        let runner = Runner {
            entry,
            runs: Vec::new(),
            crashed_ms: None,
            removed: false,
            limit: None,
            arrivals: Vec::new(),
        };
        self.runners.insert(runner.entry.key.name.clone(), runner);
    }

    fn runner_changed(&mut self, change: RunnerChange) {
        for host in 0..HOSTS {
            let mut replies = Vec::new();
            let node = &mut self.nodes[host];
            let changes = std::slice::from_ref(&change);
            node.coordinator.apply_runner_changes(at(self.now_ms), changes, &mut replies);
            self.execute(host, Vec::new(), replies);
        }
    }

    fn send_sound(&mut self) {
        if self.sessions.is_empty() || self.rng.random_range(0..5) == 0 {
            self.numbers += 1;
            self.sessions.push((0x1_0000 + self.numbers, self.rng.random_range(0..5)));
        }
        let pick = self.rng.random_range(0..self.sessions.len());
        let (session, caller) = self.sessions[pick];
        if self.rng.random_range(0..6) == 0 {
            self.sessions.swap_remove(pick);
        }
        self.submit_new(vec![PromptPart(1), PromptPart(0x10 + caller), PromptPart(session)]);
    }

    fn send_crashing(&mut self, number: usize) {
        let (part, position) = self.crashing[number];
        self.numbers += 1;
        let caller = PromptPart(0x10 + self.rng.random_range(0..5));
        let mut parts = vec![PromptPart(1), caller, PromptPart(0x2_0000 + self.numbers)];
        parts.insert(position, part);
        self.submit_new(parts);
    }

    fn submit_new(&mut self, parts: Vec<PromptPart>) {
        let host = self.rng.random_range(0..HOSTS);
        if self.is_late_sound(&parts, self.now_ms) {
            self.counts.sound_late += 1;
        }
        let request = Request { host, parts, attempts: 0, sent_ms: self.now_ms };
        self.submit(request);
    }

    fn is_late_sound(&self, parts: &[PromptPart], sent_ms: u64) -> bool {
        let fifths = self.part_crashes.values().map(|crashes| crashes.get(4));
        let after = fifths.flatten().max().is_some_and(|fifth| sent_ms > fifth + 2 * CONTACT_MS);
        // The others may not have begun by the end of the play.
        after && sent_ms < LAST_COUNTED_MS && !parts.iter().any(|part| self.is_crashing(part))
    }

    fn submit(&mut self, request: Request) {
        self.numbers += 1;
        let mut req = placement_request(u128::from(self.numbers), 0.0);
        req.parts.clone_from(&request.parts);
        req.prior_attempts = request.attempts;
        req.record.entry = self.nodes[request.host].id.clone();
        let (id, host) = (req.record.id, request.host);
        self.requests.insert(id, request);
        let mut actions = Vec::new();
        self.nodes[host].client.submit(at(self.now_ms), req, &mut actions);
        self.execute(host, actions, Vec::new());
    }

    /// Carries out the actions of a host's client and the replies of its coordinator.
    fn execute(
        &mut self,
        host: usize,
        actions: Vec<ClientAction>,
        replies: Vec<(HostId, PlacementReply)>,
    ) {
        let now = at(self.now_ms);
        let mut actions: VecDeque<_> = actions.into_iter().map(|action| (host, action)).collect();
        let mut replies: VecDeque<_> = replies.into_iter().map(|reply| (host, reply)).collect();
        loop {
            let (mut new_actions, mut new_replies) = (Vec::new(), Vec::new());
            let by;
            if let Some((from, (to, reply))) = replies.pop_front() {
                let Some(to) = self.nodes.iter().position(|node| node.id == to) else { continue };
                by = to;
                let from_id = Some(self.nodes[from].id.clone()).filter(|_| from != to);
                let client = &mut self.nodes[to].client;
                client.handle_reply(from_id.as_ref(), reply, &mut new_actions);
            } else if let Some((at_host, action)) = actions.pop_front() {
                by = at_host;
                match action {
                    ClientAction::Send(to, update) => {
                        let to = match to {
                            None => Some(by),
                            Some(id) => self.nodes.iter().position(|node| node.id == id),
                        };
                        let Some(to) = to else { continue };
                        let id = self.nodes[by].id.clone();
                        let coordinator = &mut self.nodes[to].coordinator;
                        coordinator.handle_update(now, &id, update, &mut new_replies);
                        replies.extend(new_replies.drain(..).map(|reply| (to, reply)));
                    }
                    ClientAction::Dispatch(id, runner, _) => {
                        let Node { client, coordinator, .. } = &mut self.nodes[by];
                        if client.is_quarantined(id, coordinator) {
                            client.refuse_quarantined(id, &mut new_actions);
                        } else {
                            self.dispatch(by, id, &runner, &mut new_actions);
                        }
                    }
                    ClientAction::Refuse(id, ..) => {
                        self.requests.remove(&id);
                    }
                }
            } else {
                return;
            }
            actions.extend(new_actions.into_iter().map(|action| (by, action)));
        }
    }

    fn dispatch(
        &mut self,
        host: usize,
        id: RequestId,
        runner: &RunnerName,
        out: &mut Vec<ClientAction>,
    ) {
        let found = self.runners.get_mut(runner);
        let Some(runner) = found.filter(|runner| runner.crashed_ms.is_none()) else {
            self.nodes[host].client.requeue(id, RetryReason::ConnectRefused, out);
            return;
        };
        let first_ms = self.now_ms + self.rng.random_range(40..250);
        let end_ms = first_ms + self.rng.random_range(300..3_000);
        runner.arrivals.push(self.now_ms);
        runner.runs.push(Run { id, host, sent_ms: self.now_ms, first_ms, end_ms, begun: false });
        let parts = self.requests[&id].parts.iter();
        let crashing = parts.filter(|part| self.crashing.iter().any(|(c, _)| c == *part));
        for part in crashing.copied().collect::<Vec<_>>() {
            self.part_arrivals.entry(part).or_default().push(self.now_ms);
        }
    }

    fn update_runners(&mut self) {
        let now_ms = self.now_ms;
        let names: Vec<_> = self.runners.keys().cloned().collect();
        for name in names {
            let runner = &self.runners[&name];
            if let Some(crashed_ms) = runner.crashed_ms {
                if !runner.removed && now_ms > crashed_ms + REMOVAL_MS {
                    let entry = runner.entry.clone();
                    self.runners.get_mut(&name).unwrap().removed = true;
                    self.runner_changed(RunnerChange::Removed(entry));
                } else if now_ms > crashed_ms + RESTART_MS {
                    self.runners.remove(&name);
                    self.start_runner();
                }
                continue;
            }
            let crash = runner.runs.iter().find_map(|run| {
                let parts = &self.requests.get(&run.id)?.parts;
                let part = parts.iter().find(|part| self.is_crashing(part))?;
                (now_ms >= run.first_ms + CRASH_MS).then_some(*part)
            });
            if let Some(part) = crash {
                self.part_crashes.entry(part).or_default().push(now_ms);
                self.crash(&name);
                continue;
            }
            let runner = self.runners.get_mut(&name).unwrap();
            let ended: Vec<_> = runner.runs.extract_if(.., |run| now_ms >= run.end_ms).collect();
            let begun = runner.runs.iter_mut().filter(|run| !run.begun && now_ms >= run.first_ms);
            let begun = begun.map(|run| {
                run.begun = true;
                (run.host, run.id, run.sent_ms)
            });
            let begun: Vec<_> = begun.collect();
            let per_s = runner.limit.map(|(per_s, _)| per_s);
            let key = runner.entry.key.clone();
            for (host, id, sent_ms) in begun {
                let sent_ago = Duration::from_millis(now_ms - sent_ms);
                self.report_limit(host, &LimitReport { key: key.clone(), per_s, sent_ago });
                self.begin(host, id);
            }
            for run in ended {
                let usage = Usage { decode_tokens: 50, ..Usage::default() };
                self.end(run.host, run.id, DispatchEnd::Complete(usage));
            }
        }
    }

    fn begin(&mut self, host: usize, id: RequestId) {
        let mut actions = Vec::new();
        self.nodes[host].client.first_token(id, &mut actions);
        self.execute(host, actions, Vec::new());
        let Some(Request { parts, sent_ms, attempts, .. }) = self.requests.get(&id) else { return };
        if *attempts == 0 && self.is_late_sound(parts, *sent_ms) {
            self.counts.sound_began_late += 1;
        }
    }

    fn end(&mut self, host: usize, id: RequestId, end: DispatchEnd) {
        let Some(request) = self.requests.remove(&id) else { return };
        if matches!(end, DispatchEnd::Complete(_))
            && host != self.leader
            && !self.cut.contains(&host)
        {
            let Node { client, coordinator, .. } = &mut self.nodes[host];
            coordinator.record_own_response(at(self.now_ms), &client.suspects(id), &mut Vec::new());
        }
        let mut actions = Vec::new();
        self.nodes[host].client.ended(id, end, &mut actions);
        self.execute(host, actions, Vec::new());
        // Hosts send a broken request once more, and so do their callers.
        if end == DispatchEnd::Failed && request.attempts < 3 {
            self.submit(Request { attempts: request.attempts + 1, ..request });
        }
    }

    fn crash(&mut self, name: &RunnerName) {
        let runner = self.runners.get_mut(name).unwrap();
        runner.crashed_ms = Some(self.now_ms);
        self.counts.crashes += 1;
        for run in std::mem::take(&mut runner.runs) {
            self.end(run.host, run.id, DispatchEnd::Failed);
        }
    }
}
