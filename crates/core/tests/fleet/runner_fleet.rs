//! Hosts with their coordinators, runners that crash or name rate limits, and callers
//! whose prompts share parts or who repeat their requests.

mod callers;
mod hosts;
mod paths;
mod retries;
mod setup;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, LimitReport, PlacementReply, PromptPart,
        QuotaTolerance, RequestContent, RequestDigest, RetryBudgetLimits, RunnerChange,
        RunnerEntry, RunnerPaths, Suspect, SuspectRecord,
    },
    ids::{HostId, RequestId, RunnerName},
    outcome::RetryReason,
    request::{DispatchEnd, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::support::{self, at, entry};

use self::{
    paths::{Connecting, Way},
    retries::{NO_RETRY_LIMITS, RetryLog},
};
pub(crate) use self::{
    retries::Rejections,
    setup::{Counts, Crashing, Faults, Pool},
};

const STEP_MS: u64 = 10;
const HOSTS: usize = 6;
const FIRST_PORT: u16 = 8_000;
/// Time from a crash to the removal of the store's entry, and to the next start.
const REMOVAL_MS: u64 = 3_000;
const RESTART_MS: u64 = 3_400;
const CONTACT_MS: u64 = 3_000;
/// Timeout of a connection that hangs.
const CONNECT_MS: u64 = 500;
/// When crashing requests begin.
const BEGIN_MS: u64 = 5_000;
const SHARE_INTERVAL_MS: u64 = 100;
pub(crate) const PLAY_MS: u64 = 40_000;
/// Sound requests later than this are not counted.
const LAST_COUNTED_MS: u64 = PLAY_MS - 2_000;

struct Node {
    id: HostId,
    coordinator: Coordinator,
    client: CoordinatorClient,
    paths: RunnerPaths,
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

/// Time for which a host can't reach any runner.
#[derive(Clone, Copy)]
struct RunnerCut {
    from_ms: u64,
    until_ms: u64,
    /// True if connections hang, false if they are reset or refused.
    hangs: bool,
}

struct Request {
    host: usize,
    parts: Vec<PromptPart>,
    body: u64,
    attempts: u32,
    sent_ms: u64,
    /// Whether its host was cut off from runners, if any was.
    at_cut: Option<bool>,
}

impl Request {
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().copied().map(Suspect::Part);
        parts.chain([Suspect::Request(digest(self.body))])
    }
}

/// Returns the digest of a request with this body.
pub(crate) fn digest(body: u64) -> RequestDigest {
    RequestDigest::new(&RequestContent {
        workspace: None,
        method: "POST",
        host: "desk.example",
        target: "/",
        body: &body.to_be_bytes(),
    })
}

pub(crate) struct Fleet {
    rng: StdRng,
    pub(crate) now_ms: u64,
    faults: Faults,
    pool: Pool,
    crashing: Vec<Crashing>,
    nodes: Vec<Node>,
    /// The host that coordinates.
    leader: usize,
    /// Hosts that use their own coordinators.
    cut: BTreeSet<usize>,
    /// Hosts that are cut off from all runners.
    cut_from_runners: BTreeMap<usize, RunnerCut>,
    /// Connections that cut hosts wait for, by the end of their timeout.
    connecting: Vec<Connecting>,
    /// Suspects in the store.
    suspects: BTreeMap<Suspect, SuspectRecord>,
    /// One of this many steps brings a sound request.
    pub(crate) steps_per_request: u32,
    runners: BTreeMap<RunnerName, Runner>,
    requests: BTreeMap<RequestId, Request>,
    bodies_with_crashing_parts: BTreeSet<RequestDigest>,
    /// Requests of the callers' sessions, by their part.
    sessions: Vec<(u64, u64)>,
    /// Crashes and arrivals of what crashes runners.
    crashes: BTreeMap<Suspect, Vec<u64>>,
    crashing_arrivals: BTreeMap<Suspect, Vec<u64>>,
    numbers: u64,
    /// Number of runners that were started.
    started: u16,
    pub(crate) counts: Counts,
    rejections: Option<Rejections>,
    retry_limits: RetryBudgetLimits,
    retry_log: RetryLog,
}

fn new_node(host: usize, now_ms: u64, retries: RetryBudgetLimits) -> Node {
    let id = HostId { incarnation: now_ms, ..support::host(&format!("h{host}")) };
    let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
    let names: Vec<_> = (0..HOSTS).map(|host| support::host(&format!("h{host}")).name).collect();
    coordinator.set_registered_hosts(at(now_ms), &names);
    coordinator.local_host_joined(at(now_ms), id.clone());
    let (client, paths) = (CoordinatorClient::default(), RunnerPaths::default());
    Node { id, coordinator, client, paths }
}

impl Fleet {
    pub(crate) fn new(seed: u64, pool: Pool, crashing: &[Crashing], faults: Faults) -> Self {
        Self::with_retry_limits(seed, pool, crashing, faults, NO_RETRY_LIMITS)
    }

    fn with_retry_limits(
        seed: u64,
        pool: Pool,
        crashing: &[Crashing],
        faults: Faults,
        retry_limits: RetryBudgetLimits,
    ) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            faults,
            pool,
            crashing: crashing.to_vec(),
            nodes: (0..HOSTS).map(|host| new_node(host, 1_000, retry_limits)).collect(),
            leader: 0,
            cut: BTreeSet::new(),
            cut_from_runners: BTreeMap::new(),
            connecting: Vec::new(),
            suspects: BTreeMap::new(),
            steps_per_request: 5,
            runners: BTreeMap::new(),
            requests: BTreeMap::new(),
            bodies_with_crashing_parts: BTreeSet::new(),
            sessions: Vec::new(),
            crashes: BTreeMap::new(),
            crashing_arrivals: BTreeMap::new(),
            numbers: 0,
            started: 0,
            counts: Counts::default(),
            rejections: None,
            retry_limits,
            retry_log: RetryLog::default(),
        };
        (0..pool.size()).for_each(|_| fleet.start_runner());
        fleet.elect(0);
        fleet
    }

    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.update_runners();
        self.probe_runners();
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

    /// Suspects that are quarantined and don't crash runners.
    pub(crate) fn wrongly_quarantined(&mut self) -> Vec<Suspect> {
        let quarantine = self.nodes[self.leader].coordinator.quarantine();
        let suspects: Vec<_> = quarantine.quarantined().map(|(suspect, _)| suspect).collect();
        let is_found = |crashing: &&Crashing| suspects.contains(&crashing.suspect());
        self.counts.found = self.crashing.iter().filter(is_found).count();
        let is_wrong = |suspect: &Suspect| match suspect {
            // With a crashing part, each request that is repeated often enough crashes too.
            Suspect::Request(digest) if self.bodies_with_crashing_parts.contains(digest) => false,
            _ => !self.crashing.iter().any(|crashing| crashing.suspect() == *suspect),
        };
        suspects.into_iter().filter(is_wrong).collect()
    }

    /// Crashing requests that runners got too late.
    pub(crate) fn late_arrivals(&self) -> Vec<(Suspect, usize)> {
        let known = self.crashing.iter().filter_map(|crashing| {
            let suspect = crashing.suspect();
            let known = self.crashes.get(&suspect)?.get(crashing.known_crashes() - 1)?;
            let arrivals = self.crashing_arrivals[&suspect].iter();
            Some((suspect, arrivals.filter(|at| **at > known + CONTACT_MS).count()))
        });
        known.collect()
    }

    /// Returns what a request crashes its runner with, if anything.
    fn crashing_suspect(&self, id: RequestId) -> Option<Suspect> {
        let request = self.requests.get(&id)?;
        let crashing = |suspect: &Suspect| self.crashing.iter().any(|c| c.suspect() == *suspect);
        request.suspects().find(crashing)
    }

    fn start_runner(&mut self) {
        self.numbers += 1;
        let address = SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + self.started));
        self.started += 1;
        let name = format!("r{}", self.numbers);
        let entry = RunnerEntry { slots: self.pool.slots(), address, ..entry(&name, 1, false) };
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
                        if let Some(reason) = client.quarantine_refusal(id, coordinator) {
                            client.refuse_quarantined(id, reason, &mut new_actions);
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
        match self.find_way(host, id, runner) {
            Way::Reaches => {}
            Way::Hangs => return,
            Way::Fails => {
                self.nodes[host].client.requeue(id, RetryReason::ConnectRefused, out);
                return;
            }
        }
        self.run(host, id, runner, out);
    }

    /// Lets a runner that has been reached run or reject a request.
    fn run(
        &mut self,
        host: usize,
        id: RequestId,
        runner: &RunnerName,
        out: &mut Vec<ClientAction>,
    ) {
        if let Some(reason) = self.reject(id) {
            self.nodes[host].client.requeue(id, reason, out);
            return;
        }
        let runner = self.runners.get_mut(runner).unwrap();
        let (first, length) = self.pool.draw_times(&mut self.rng);
        let first_ms = self.now_ms + first;
        let end_ms = first_ms + length;
        runner.arrivals.push(self.now_ms);
        runner.runs.push(Run { id, host, sent_ms: self.now_ms, first_ms, end_ms, begun: false });
        if let Some(suspect) = self.crashing_suspect(id) {
            self.crashing_arrivals.entry(suspect).or_default().push(self.now_ms);
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
                let suspect = self.crashing_suspect(run.id)?;
                (now_ms >= run.first_ms + self.pool.crash_ms()).then_some(suspect)
            });
            if let Some(suspect) = crash {
                self.crashes.entry(suspect).or_default().push(now_ms);
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
        let Some(Request { sent_ms, attempts, .. }) = self.requests.get(&id) else { return };
        let is_first = *attempts == 0;
        if is_first && self.is_sound(id) && self.is_late(*sent_ms) {
            self.counts.sound_began_late += 1;
        }
    }

    fn end(&mut self, host: usize, id: RequestId, end: DispatchEnd) {
        let is_counted = self.is_sound(id) && matches!(end, DispatchEnd::Complete(_));
        let Some(request) = self.requests.remove(&id) else { return };
        if is_counted && request.sent_ms > BEGIN_MS && request.sent_ms < LAST_COUNTED_MS {
            self.counts.sound_answered += 1;
        }
        match request.at_cut.filter(|_| is_counted) {
            Some(true) => self.counts.at_cut_answered += 1,
            Some(false) => self.counts.at_others_answered += 1,
            None => {}
        }
        if is_counted && self.pool == Pool::Service && self.is_late(request.sent_ms) {
            self.counts.sound_began_late += 1;
        }
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
