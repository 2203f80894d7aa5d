//! Hosts with their coordinators and views of the store, runners of several versions,
//! and callers that take up their streams.

mod callers;
mod hosts;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use comfreyway_core::{
    fleet::{
        ClientAction, Coordinator, CoordinatorClient, FleetConfig, RunnerEntry, RunnerVersion,
        UpstreamConfig,
    },
    ids::{HostId, RequestId, RunnerName},
};
use rand::rngs::StdRng;

use crate::support::{empty_config, entry, resumable_route};

pub(super) const HOSTS: usize = 6;
pub(super) const STEP_MS: u64 = 20;
/// Longest time after which a caller takes a stream up again, if it says so.
const CALLER_WAIT_MS: u64 = 6_000;
/// Time limits of the route. A caller that states no other wait comes back within it.
const TIME_LIMIT_MS: u64 = 6_000;
const SHORT_TIME_LIMIT_MS: u64 = 500;
/// Time between two verifications of a view.
const VERIFY_INTERVAL_MS: u64 = 200;
/// Time from a kill to the next start.
const RESTART_MS: u64 = 300;
/// Number of client hosts with copies of a coordinator's records.
const COPIES: usize = 2;

/// Whether callers say how long they wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallerWaits {
    Stated,
    Unstated,
}

/// The store's record of versions.
#[derive(Default)]
struct Record {
    retention: Duration,
    /// For each version without runners when the last one was removed, and until when it is
    /// kept.
    versions: BTreeMap<Option<RunnerVersion>, Option<(u64, u64)>>,
}

/// A stream that has begun.
struct Stream {
    version: RunnerVersion,
    /// Longest time after which its caller takes it up.
    max_wait_ms: u64,
}

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
    time_limit_ms: u64,
    cut_from_store: bool,
    cut_from_hosts: bool,
    /// Until then it reads no changes.
    views_paused_until_ms: u64,
}

/// A request of a caller.
struct Open {
    host: usize,
    stream: u64,
    max_wait_ms: u64,
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
    /// In the configuration that the store has.
    time_limit_ms: u64,
    waits: CallerWaits,
    record: Record,
    open: BTreeMap<RequestId, Open>,
    streams: BTreeMap<u64, Stream>,
    /// Streams that broke off, and when their callers take them up.
    broken: Vec<(u64, u64)>,
    /// Updates that arrive in the next step.
    delayed: Vec<(usize, ClientAction)>,
    numbers: u64,
    pub(super) counts: Counts,
}

fn config(time_limit_ms: u64) -> Arc<FleetConfig> {
    let upstream = UpstreamConfig {
        engine: true,
        max_connections: 10,
        tokens_per_event: 3,
        prompt_memory: None,
    };
    let config = empty_config().with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(config.with_route(resumable_route(Duration::from_millis(time_limit_ms))))
}

impl Fleet {
    pub(super) fn new(waits: CallerWaits) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            nodes: (0..HOSTS).map(|_| None).collect(),
            starts_at_ms: vec![0; HOSTS],
            changes: Vec::new(),
            runners: BTreeMap::new(),
            time_limit_ms: TIME_LIMIT_MS,
            waits,
            record: Record::default(),
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

    /// Changes the time limit in the configuration.
    pub(super) fn set_short_time_limit(&mut self, is_short: bool) {
        self.time_limit_ms = if is_short { SHORT_TIME_LIMIT_MS } else { TIME_LIMIT_MS };
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
}
