//! Hosts with their coordinators and views of the store, runners of several versions,
//! and callers that take up their streams.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        CallerLimits, ClientAction, Coordinator, CoordinatorClient, FleetConfig, PlacementReply,
        PlacementRequest, QuotaTolerance, RetryBudgetLimits, RetryPolicy, Route, RunnerChange,
        RunnerEntry, RunnerVersion, StreamBinding, StreamId, UpstreamConfig,
    },
    ids::{HostId, RequestId, RunnerName, Tier},
    outcome::RetryReason,
    request::{DispatchEnd, Target},
};
use rand::{RngExt, rngs::StdRng};

use crate::support::{at, entry, host, placement_request};

pub(super) const HOSTS: usize = 6;
pub(super) const STEP_MS: u64 = 20;
/// Longest time after which a caller takes a stream up again.
const MAX_TAKE_UP_MS: u64 = 6_000;
/// Time limit of the route; streams are remembered for twice as long.
const TIME_LIMIT: Duration = Duration::from_secs(6);
/// Time between two verifications of a view.
const VERIFY_INTERVAL_MS: u64 = 200;
/// Time from a kill to the next start.
const RESTART_MS: u64 = 300;
/// Number of client hosts with copies of a coordinator's records.
const COPIES: usize = 2;

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    /// New streams, and those of them that began.
    pub(super) asked: usize,
    pub(super) began: usize,
    /// Streams taken up while a runner of their version served, and those that went on.
    pub(super) taken_up: usize,
    pub(super) went_on: usize,
    /// Streams that went on at another version.
    pub(super) mixed: Vec<String>,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.began += other.began;
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.mixed.extend(other.mixed.iter().cloned());
    }
}

/// A change of a runner in the store.
#[derive(Clone, Debug)]
enum Change {
    Put(RunnerEntry),
    Delete(RunnerEntry),
}

struct Node {
    id: HostId,
    coordinator: Coordinator,
    client: CoordinatorClient,
    /// The host whose coordinator it uses, if not its own.
    uses: Option<usize>,
    /// Its view of the runners, and the number of changes that it has read.
    runners: BTreeMap<RunnerName, RunnerEntry>,
    read: usize,
    cut_from_store: bool,
    cut_from_hosts: bool,
    /// Until then it reads no changes.
    views_paused_until_ms: u64,
}

/// A request of a caller.
struct Open {
    host: usize,
    stream: u64,
    /// True if it goes on with the stream.
    takes_up: bool,
}

pub(super) struct Fleet {
    now_ms: u64,
    nodes: Vec<Option<Node>>,
    /// When a killed host starts again.
    starts_at_ms: Vec<u64>,
    changes: Vec<Change>,
    runners: BTreeMap<RunnerName, RunnerEntry>,
    /// Versions in the store's record, and when the last runner was removed.
    record: BTreeMap<Option<RunnerVersion>, Option<u64>>,
    open: BTreeMap<RequestId, Open>,
    /// The version of each stream that has begun.
    streams: BTreeMap<u64, RunnerVersion>,
    /// Streams that broke off, and when their callers take them up.
    broken: Vec<(u64, u64)>,
    /// Updates that arrive in the next step.
    delayed: Vec<(usize, ClientAction)>,
    numbers: u64,
    pub(super) counts: Counts,
}

fn config() -> Arc<FleetConfig> {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let upstream = UpstreamConfig { engine: true, max_connections: 10, tokens_per_event: 3 };
    let route = Route {
        class: "report".parse().unwrap(),
        host: "desk.example".to_owned(),
        prefix: "/report/".to_owned(),
        upstreams: vec![("dala".parse().unwrap(), 1)],
        retry: RetryPolicy::Resumable,
        streaming: true,
        time_limit: TIME_LIMIT,
        target: Target::Whole(TIME_LIMIT),
        tier: Tier(1),
        max_attempts: 2,
        public: true,
    };
    let config = FleetConfig::new(1, 1, limits).with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(config.with_route(route))
}

impl Fleet {
    pub(super) fn new() -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            nodes: (0..HOSTS).map(|_| None).collect(),
            starts_at_ms: vec![0; HOSTS],
            changes: Vec::new(),
            runners: BTreeMap::new(),
            record: BTreeMap::new(),
            open: BTreeMap::new(),
            streams: BTreeMap::new(),
            broken: Vec::new(),
            delayed: Vec::new(),
            numbers: 0,
            counts: Counts::default(),
        };
        for _ in 0..3 {
            fleet.start_runner("v1");
        }
        fleet
    }

    /// Starts a runner of this version, unless there are many.
    pub(super) fn start_runner(&mut self, version: &str) {
        if self.runners.len() > 8 {
            return;
        }
        self.numbers += 1;
        let version = RunnerVersion::new(version);
        let entry = RunnerEntry { version, ..entry(&format!("r{}", self.numbers), 1, false) };
        self.runners.insert(entry.key.name.clone(), entry.clone());
        self.changes.push(Change::Put(entry));
    }

    /// Removes a runner, unless there are few.
    pub(super) fn remove_runner(&mut self, pick: usize) {
        if self.runners.len() < 3 {
            return;
        }
        let name = self.runners.keys().nth(pick % self.runners.len()).cloned().unwrap();
        let entry = self.runners.remove(&name).unwrap();
        self.changes.push(Change::Delete(entry));
    }

    /// Kills a host; its callers take their streams up elsewhere.
    pub(super) fn kill(&mut self, host: usize) {
        if self.nodes[host].take().is_none() {
            return;
        }
        self.starts_at_ms[host] = self.now_ms + RESTART_MS;
        self.open.retain(|_, open| open.host != host);
        for client in 0..HOSTS {
            if self.nodes[client].as_ref().is_some_and(|node| node.uses == Some(host)) {
                self.use_coordinator(client, None);
            }
        }
        self.leave(host, host);
    }

    pub(super) fn cut_from_store(&mut self, host: usize, cut: bool) {
        if let Some(node) = &mut self.nodes[host] {
            node.cut_from_store = cut;
        }
    }

    pub(super) fn cut_from_hosts(&mut self, host: usize, cut: bool) {
        if let Some(node) = &mut self.nodes[host] {
            node.cut_from_hosts = cut;
        }
    }

    pub(super) fn pause_views(&mut self, host: usize, ms: u64) {
        if let Some(node) = &mut self.nodes[host] {
            node.views_paused_until_ms = self.now_ms + ms;
        }
    }

    pub(super) fn heal(&mut self) {
        for node in self.nodes.iter_mut().flatten() {
            node.cut_from_store = false;
            node.cut_from_hosts = false;
        }
    }

    /// The host that the others elect: the first that reaches them.
    pub(super) fn elected(&self) -> usize {
        let reachable = |node: &Option<Node>| node.as_ref().is_some_and(|n| !n.cut_from_hosts);
        self.nodes.iter().position(reachable).unwrap_or(0)
    }

    /// Plays one step.
    pub(super) fn step(&mut self, rng: &mut StdRng) {
        self.now_ms += STEP_MS;
        for host in 0..HOSTS {
            if self.nodes[host].is_none() && self.now_ms >= self.starts_at_ms[host] {
                self.start(host);
            }
            self.read_store(host);
        }
        for (host, action) in std::mem::take(&mut self.delayed) {
            self.execute(host, vec![action], Vec::new());
        }
        self.elect(rng);
        self.write_record();
        self.copy_streams();
        self.tick();
        self.take_up(rng);
        for _ in 0..2 {
            self.begin(rng);
        }
    }

    fn start(&mut self, host: usize) {
        let id = HostId { incarnation: self.now_ms, ..self::host(&format!("h{host}")) };
        let retries = RetryBudgetLimits { ratio: 1.0, slack: 1_000.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
        coordinator.set_config(config());
        coordinator.local_host_joined(at(self.now_ms), id.clone());
        self.nodes[host] = Some(Node {
            id,
            coordinator,
            client: CoordinatorClient::default(),
            uses: None,
            runners: BTreeMap::new(),
            read: usize::MAX,
            cut_from_store: false,
            cut_from_hosts: false,
            views_paused_until_ms: 0,
        });
    }

    /// Reads the changes of the store, all entries at first, and verifies the view.
    fn read_store(&mut self, host: usize) {
        let now = at(self.now_ms);
        let Some(node) = &mut self.nodes[host] else { return };
        if node.cut_from_store || self.now_ms < node.views_paused_until_ms {
            return;
        }
        let mut changes = Vec::new();
        if node.read == usize::MAX {
            node.read = self.changes.len();
            for (version, gone_ms) in &self.record {
                let gone_for = gone_ms.map_or(0, |gone_ms| self.now_ms - gone_ms);
                let gone_for = Duration::from_millis(gone_for);
                let upstream = "dala".parse().unwrap();
                node.coordinator.version_reported(now, &upstream, version.clone(), gone_for);
            }
            changes.extend(self.runners.values().cloned().map(RunnerChange::Usable));
        }
        for change in &self.changes[node.read..] {
            changes.push(match change {
                Change::Put(entry) => RunnerChange::Usable(entry.clone()),
                Change::Delete(entry) => RunnerChange::Removed(entry.clone()),
            });
        }
        node.read = self.changes.len();
        for change in &changes {
            let entry = change.entry().clone();
            match change {
                RunnerChange::Removed(_) => node.runners.remove(&entry.key.name),
                _ => node.runners.insert(entry.key.name.clone(), entry),
            };
        }
        let mut replies = Vec::new();
        node.coordinator.apply_runner_changes(now, &changes, &mut replies);
        if (self.now_ms / STEP_MS + host as u64).is_multiple_of(VERIFY_INTERVAL_MS / STEP_MS) {
            node.coordinator.set_verified(now, now, &mut replies);
        }
        self.execute(host, Vec::new(), replies);
    }

    /// Lets hosts use the elected coordinator, or their own if they are cut off. A host
    /// notices a change after a random time.
    fn elect(&mut self, rng: &mut StdRng) {
        let elected = self.elected();
        for host in 0..HOSTS {
            let Some(node) = &self.nodes[host] else { continue };
            let wanted = (host != elected && !node.cut_from_hosts).then_some(elected);
            let wanted = wanted.filter(|to| self.nodes[*to].is_some());
            let is_lost = node.uses.is_some_and(|to| {
                self.nodes[to].as_ref().is_none_or(|to| to.cut_from_hosts || to.uses.is_some())
            });
            if node.uses != wanted && (is_lost || rng.random_range(0..10) == 0) {
                let wanted = wanted
                    .filter(|to| self.nodes[*to].as_ref().is_some_and(|to| to.uses.is_none()));
                self.use_coordinator(host, wanted);
            }
        }
    }

    fn use_coordinator(&mut self, host: usize, to: Option<usize>) {
        let now = at(self.now_ms);
        let to_id = to.and_then(|to| self.nodes[to].as_ref()).map(|node| node.id.clone());
        let Some(node) = &mut self.nodes[host] else { return };
        let former = std::mem::replace(&mut node.uses, to);
        let (id, records) =
            (node.id.clone(), node.coordinator.known_streams(now).collect::<Vec<_>>());
        let (mut actions, mut replies) = (Vec::new(), Vec::new());
        match to.and_then(|to| self.nodes[to].as_mut()) {
            Some(to) => {
                to.coordinator.host_joined(now, id.clone());
                to.coordinator.learn_streams(now, records, &mut replies);
            }
            None => {
                let Some(node) = &mut self.nodes[host] else { return };
                node.coordinator.local_host_joined(now, id.clone());
            }
        }
        if let Some(to) = to {
            self.execute(to, Vec::new(), std::mem::take(&mut replies));
        }
        let Some(node) = &mut self.nodes[host] else { return };
        node.client.set_coordinator(now, to_id, &mut actions);
        self.execute(host, actions, Vec::new());
        if let Some(former) = former.or(Some(host)).filter(|former| Some(*former) != to) {
            self.leave_coordinator(former, &id);
        }
    }

    fn leave(&mut self, host: usize, from: usize) {
        let id = self::host(&format!("h{host}"));
        for to in (0..HOSTS).filter(|to| *to != from) {
            let Some(node) = &mut self.nodes[to] else { continue };
            let left = node.coordinator.clients().find(|client| client.name == id.name).cloned();
            if let Some(left) = left {
                self.leave_coordinator(to, &left);
            }
        }
    }

    fn leave_coordinator(&mut self, to: usize, id: &HostId) {
        let Some(node) = &mut self.nodes[to] else { return };
        let mut replies = Vec::new();
        node.coordinator.host_left(at(self.now_ms), id, &mut replies);
        self.execute(to, Vec::new(), replies);
    }

    /// Each coordinator that reaches the store keeps the record of versions there.
    fn write_record(&mut self) {
        let now_ms = self.now_ms;
        for node in self.nodes.iter().flatten() {
            if node.uses.is_some() || node.cut_from_store {
                continue;
            }
            for (_, history) in node.coordinator.version_histories() {
                if !history.is_mixed(at(now_ms)) {
                    continue;
                }
                for (version, gone) in history.versions(at(now_ms)) {
                    let gone_ms = gone.map(|gone| now_ms - gone.as_millis() as u64);
                    self.record.insert(version.cloned(), gone_ms);
                }
            }
        }
    }

    /// Copies new records to a few client hosts.
    fn copy_streams(&mut self) {
        let now = at(self.now_ms);
        for host in 0..HOSTS {
            let Some(node) = &mut self.nodes[host] else { continue };
            let new = node.coordinator.take_new_streams();
            let clients = (0..HOSTS).filter(|client| {
                self.nodes[*client].as_ref().is_some_and(|node| node.uses == Some(host))
            });
            for client in clients.take(COPIES).collect::<Vec<_>>() {
                let mut replies = Vec::new();
                if let Some(node) = &mut self.nodes[client] {
                    node.coordinator.learn_streams(now, new.clone(), &mut replies);
                }
                self.execute(client, Vec::new(), replies);
            }
        }
    }

    fn tick(&mut self) {
        for host in 0..HOSTS {
            let mut replies = Vec::new();
            if let Some(node) = &mut self.nodes[host] {
                node.coordinator.tick(at(self.now_ms), &mut replies);
                node.coordinator.expire_versions(at(self.now_ms));
            }
            self.execute(host, Vec::new(), replies);
        }
    }

    fn begin(&mut self, rng: &mut StdRng) {
        self.numbers += 1;
        let (stream, host) = (self.numbers, rng.random_range(0..HOSTS));
        if self.nodes[host].is_none() {
            return;
        }
        self.counts.asked += 1;
        self.submit(host, stream, false);
    }

    /// Takes up the streams that are due, each at any host.
    fn take_up(&mut self, rng: &mut StdRng) {
        let now_ms = self.now_ms;
        let due = self.broken.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect::<Vec<_>>();
        for (_, stream) in due {
            let host = rng.random_range(0..HOSTS);
            let Some(node) = &self.nodes[host] else { continue };
            let version = &self.streams[&stream];
            let serves = |entry: &RunnerEntry| entry.version.as_ref() == Some(version);
            if !node.cut_from_store && self.runners.values().any(serves) {
                self.counts.taken_up += 1;
            }
            self.submit(host, stream, true);
        }
        // Whether a stream breaks off is drawn as it begins.
        let begun: Vec<_> = self.streams.keys().rev().take(4).copied().collect();
        for stream in begun {
            if rng.random_range(0..8) == 0 {
                self.broken.push((now_ms + rng.random_range(0..MAX_TAKE_UP_MS), stream));
            }
        }
    }

    fn submit(&mut self, host: usize, stream: u64, takes_up: bool) {
        self.numbers += 1;
        let id = RequestId::new(u128::from(self.numbers));
        let stream_id = StreamId::new(&"desk".parse().unwrap(), &stream.to_string());
        let binding = match takes_up {
            true => StreamBinding::continues(stream_id, None),
            false => StreamBinding::begins(stream_id),
        };
        let mut req: PlacementRequest = placement_request(u128::from(self.numbers), 0.0);
        req.stream = Some(binding);
        req.time_limit = TIME_LIMIT;
        let Some(node) = &mut self.nodes[host] else { return };
        req.record.entry = node.id.clone();
        self.open.insert(id, Open { host, stream, takes_up });
        let mut actions = Vec::new();
        node.client.submit(at(self.now_ms), req, &mut actions);
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
        let mut replies: VecDeque<_> =
            replies.into_iter().map(|(to, reply)| (host, to, reply)).collect();
        loop {
            let (mut new_actions, mut new_replies) = (Vec::new(), Vec::new());
            let at_host;
            if let Some((from, to, reply)) = replies.pop_front() {
                let found = self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.id == to));
                let Some(to) = found else { continue };
                at_host = to;
                let from_id = self.nodes[from].as_ref().map(|node| node.id.clone());
                let Some(node) = &mut self.nodes[to] else { continue };
                let from_id = from_id.filter(|_| from != to);
                node.client.handle_reply(from_id.as_ref(), reply, &mut new_actions);
            } else if let Some((by, action)) = actions.pop_front() {
                at_host = by;
                match action {
                    ClientAction::Send(to, update) => {
                        let to = match to {
                            None => Some(by),
                            Some(id) => self
                                .nodes
                                .iter()
                                .position(|n| n.as_ref().is_some_and(|n| n.id == id)),
                        };
                        let Some(id) = self.nodes[by].as_ref().map(|n| n.id.clone()) else {
                            continue;
                        };
                        let Some(to) = to else { continue };
                        let Some(node) = &mut self.nodes[to] else { continue };
                        if to == by || node.coordinator.clients().any(|client| *client == id) {
                            node.coordinator.handle_update(now, &id, update, &mut new_replies);
                        }
                        replies.extend(new_replies.drain(..).map(|(id, reply)| (to, id, reply)));
                    }
                    ClientAction::Dispatch(id, runner, version) => {
                        new_actions = self.dispatch(by, id, &runner, version, &mut new_replies);
                        replies.extend(new_replies.drain(..).map(|(id, reply)| (by, id, reply)));
                    }
                    ClientAction::Refuse(id, ..) => {
                        self.open.remove(&id);
                    }
                }
            } else {
                return;
            }
            actions.extend(new_actions.into_iter().map(|action| (at_host, action)));
        }
    }

    /// Sends a request to a runner, which brings the first event and ends.
    fn dispatch(
        &mut self,
        host: usize,
        id: RequestId,
        runner: &RunnerName,
        version: Option<RunnerVersion>,
        replies: &mut Vec<(HostId, PlacementReply)>,
    ) -> Vec<ClientAction> {
        let now = at(self.now_ms);
        let mut actions = Vec::new();
        let Some(node) = &mut self.nodes[host] else { return actions };
        let known = node.runners.get(runner).map(|entry| entry.version.clone());
        let accepted = known.filter(|known| version.is_none() || *known == version);
        let Some(version) = accepted.filter(|_| self.runners.contains_key(runner)) else {
            let mut requeued = Vec::new();
            node.client.requeue(id, RetryReason::RunnerLeaving, &mut requeued);
            self.delayed.extend(requeued.into_iter().map(|action| (host, action)));
            return actions;
        };
        node.client.dispatched(id, version.clone());
        if let Some(record) = node.client.stream_record(id) {
            node.coordinator.learn_streams(now, [record], replies);
        }
        node.client.first_token(id, &mut actions);
        node.client.ended(id, DispatchEnd::Cancelled, &mut actions);
        let (Some(open), Some(version)) = (self.open.remove(&id), version) else { return actions };
        if !open.takes_up {
            self.counts.began += 1;
            self.streams.insert(open.stream, version);
            return actions;
        }
        let began = &self.streams[&open.stream];
        if *began == version {
            self.counts.went_on += 1;
        } else {
            let text = format!("{} ms: {} began at {began}, {version}", self.now_ms, open.stream);
            self.counts.mixed.push(text);
        }
        actions
    }
}
