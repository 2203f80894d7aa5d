//! The hosts with their coordinators, their views of the store, and the possible faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::support::{at, entry, host, id, placement_request};
use comfreyway_core::{
    fleet::{
        CallerLimits, Coordinator, FleetConfig, PlacementReply, Quota, QuotaTolerance,
        RequestUpdate, RetryBudgetLimits, RunnerChange, UpstreamConfig, Workspace,
    },
    ids::HostId,
    outcome::NotRunReason,
    request::{DispatchEnd, Usage},
};

const TOLERANCE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 190_000.0, window_s: 8.0 };
const QUOTA: Quota =
    Quota { rate_per_s: 85_000.0, burst: 170_000.0, by_tokens: true, plain_cost: 200.0 };
const RETRIES: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 5.0, window_s: 10.0 };
pub(super) const WINDOW_MS: u64 = 8_000;
pub(super) const HOSTS: usize = 8;
/// Cost of one request, in tokens.
const REQUEST_TOKENS: f64 = 4_000.0;
/// Time between two rounds of requests.
const STEP_MS: u64 = 20;
/// Time between two heartbeats of a host.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Silence of a coordinator after which a host uses its own.
const COORDINATOR_SILENCE_MS: u64 = 700;
/// Time after which a host whose view of the store is not verified refuses all
/// requests.
const MAX_STALENESS_MS: u64 = 3_500;
/// Time to live of a host's entry in the store.
const ENTRY_TTL_MS: u64 = 4_000;
/// Time between two periodic checks of a host.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time between two renewals of an entry.
const RENEWAL_INTERVAL_MS: u64 = 1_300;
/// Time from the signal of a planned stop to the end of the process.
const DRAIN_MS: u64 = 2_500;
/// Time between the end of a stopped process and the start of the next one.
const RESTART_MS: u64 = 500;
/// Silence of a host after which its coordinator removes it.
const HOST_SILENCE_MS: u64 = 1_500;

/// Maximum units that the operators allow in a window.
pub(super) fn allowed() -> f64 {
    (QUOTA.rate_per_s * TOLERANCE.window_s + QUOTA.burst) * (1.0 + TOLERANCE.overage)
        + TOLERANCE.slack
}

fn config() -> Arc<FleetConfig> {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let upstream = UpstreamConfig {
        engine: false,
        max_connections: 10,
        tokens_per_event: 3,
        prompt_memory: None,
    };
    let workspace = Workspace { name: "desk".parse().unwrap(), tier: None, quota: QUOTA };
    let config = FleetConfig::new(1, 1, limits).with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(config.with_workspace(workspace, ["key".to_owned()]))
}

fn host_id(number: usize) -> HostId {
    host(&format!("h{number}"))
}

/// One host with its own coordinator.
pub(super) struct Node {
    coordinator: Coordinator,
    /// The host whose coordinator it uses, if not its own.
    remote_coordinator: Option<usize>,
    /// When it last received a reply of its coordinator.
    last_reply_ms: u64,
    /// Its client hosts, with the time of each one's last heartbeat.
    clients: BTreeMap<usize, u64>,
    /// End of a pause of the process.
    pub(super) paused_until_ms: u64,
    /// True if it reaches neither the store nor any other host.
    pub(super) isolated: bool,
    /// True if it does not reach the store.
    pub(super) cut_from_store: bool,
    /// When its view of the store was last verified.
    verified_at_ms: u64,
    /// The hosts that its view of the store contains.
    members: BTreeSet<usize>,
    /// End of the process, from the signal of a planned stop on.
    stops_at_ms: Option<u64>,
}

impl Node {
    fn new(now_ms: u64, me: usize, members: BTreeSet<usize>) -> Self {
        let memory = Duration::from_millis(MAX_STALENESS_MS + COORDINATOR_SILENCE_MS);
        let mut coordinator = Coordinator::new(RETRIES, TOLERANCE).with_host_memory(memory);
        coordinator.set_config(at(0), config());
        set_members(&mut coordinator, now_ms, me, &members);
        coordinator.local_host_joined(at(now_ms), host_id(me));
        let mut runner = entry("a", 1, false);
        runner.slots = 100_000;
        coordinator.apply_runner_changes(
            at(now_ms),
            &[RunnerChange::Usable(runner)],
            &mut Vec::new(),
        );
        let clients = BTreeMap::new();
        Self {
            coordinator,
            remote_coordinator: None,
            last_reply_ms: now_ms,
            clients,
            paused_until_ms: 0,
            isolated: false,
            cut_from_store: false,
            verified_at_ms: now_ms,
            members,
            stops_at_ms: None,
        }
    }
}

/// Tells a coordinator the hosts in its host's view of the store.
fn set_members(coordinator: &mut Coordinator, now_ms: u64, me: usize, members: &BTreeSet<usize>) {
    let names: Vec<_> = members.iter().chain([&me]).map(|host| host_id(*host).name).collect();
    coordinator.set_registered_hosts(at(now_ms), &names);
}

/// The hosts, and the units that they have admitted.
pub(super) struct Fleet {
    pub(super) nodes: Vec<Node>,
    /// The entries of the hosts in the store, with the times at which they expire.
    entries: BTreeMap<usize, u64>,
    admitted: BTreeMap<u64, f64>,
    requests: u128,
    pub(super) now_ms: u64,
    /// Time until which the workspace sends nothing.
    pub(super) idle_until_ms: u64,
}

impl Fleet {
    pub(super) fn new() -> Self {
        let nodes = (0..HOSTS).map(|me| Node::new(0, me, (0..HOSTS).collect())).collect();
        let mut fleet = Self {
            nodes,
            entries: (0..HOSTS).map(|host| (host, ENTRY_TTL_MS)).collect(),
            admitted: BTreeMap::new(),
            requests: 0,
            now_ms: 0,
            idle_until_ms: 0,
        };
        for host in 1..HOSTS {
            fleet.join(host, 0);
        }
        fleet
    }

    fn reaches_store(&self, host: usize) -> bool {
        !(self.nodes[host].isolated || self.nodes[host].cut_from_store)
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        a == b || !(self.nodes[a].isolated || self.nodes[b].isolated)
    }

    /// Returns true if the host accepts requests.
    fn serves(&self, host: usize) -> bool {
        self.is_running(host) && self.now_ms - self.nodes[host].verified_at_ms <= MAX_STALENESS_MS
    }

    fn is_running(&self, host: usize) -> bool {
        self.nodes[host].paused_until_ms <= self.now_ms
    }

    /// Makes `host` a client of `to`. The clients of `host` return to their own
    /// coordinators.
    fn join(&mut self, host: usize, to: usize) {
        self.leave(host);
        let now = at(self.now_ms);
        for other in 0..HOSTS {
            if self.nodes[other].remote_coordinator == Some(host) {
                self.leave(other);
            }
        }
        self.nodes[host].coordinator.host_left(now, &host_id(host), &mut Vec::new());
        self.nodes[host].remote_coordinator = Some(to);
        self.nodes[host].last_reply_ms = self.now_ms;
        self.nodes[to].coordinator.host_joined(now, host_id(host));
        self.nodes[to].clients.insert(host, self.now_ms);
        self.send_heartbeat(host, to);
    }

    /// Makes `host` use its own coordinator. The former one removes it if it is
    /// running and reachable.
    fn leave(&mut self, host: usize) {
        let now = at(self.now_ms);
        let Some(former) = self.nodes[host].remote_coordinator.take() else { return };
        self.nodes[host].coordinator.local_host_joined(now, host_id(host));
        if self.can_reach(host, former) && self.is_running(former) {
            self.remove_client(former, host);
        }
    }

    fn remove_client(&mut self, coordinator: usize, host: usize) {
        let now = at(self.now_ms);
        let node = &mut self.nodes[coordinator];
        if node.clients.remove(&host).is_some() {
            node.coordinator.host_left(now, &host_id(host), &mut Vec::new());
        }
    }

    fn send_heartbeat(&mut self, host: usize, to: usize) {
        let now = at(self.now_ms);
        // The hosts' clocks differ.
        let sent = at(self.now_ms + 1_000_000 * host as u64);
        self.nodes[to].coordinator.host_heartbeat(now, &host_id(host), sent);
        self.nodes[to].clients.insert(host, self.now_ms);
        let hosts = self.nodes[to].coordinator.share_basis().known;
        self.nodes[host].coordinator.set_reported_hosts(now, hosts);
        self.nodes[host].last_reply_ms = self.now_ms;
    }

    /// Restarts the process of a host.
    pub(super) fn restart(&mut self, host: usize) {
        for other in 0..HOSTS {
            if self.nodes[other].remote_coordinator == Some(host) {
                self.leave(other);
            }
        }
        if let Some(former) = self.nodes[host].remote_coordinator {
            self.remove_client(former, host);
        }
        let members = self.entries.keys().copied().collect();
        self.nodes[host] = Node::new(self.now_ms, host, members);
    }

    /// Begins the planned stop of a host. It removes its entry and sends its clients
    /// away, but serves until its process ends.
    pub(super) fn begin_stop(&mut self, host: usize) {
        if self.nodes[host].stops_at_ms.is_some() || !self.is_running(host) {
            return;
        }
        self.nodes[host].stops_at_ms = Some(self.now_ms + DRAIN_MS);
        if self.reaches_store(host) {
            self.entries.remove(&host);
        }
        for other in 0..HOSTS {
            if self.nodes[other].remote_coordinator == Some(host) && self.can_reach(host, other) {
                self.leave(other);
                self.elect(other);
            }
        }
        self.elect(host);
    }

    /// Renews the entries of the hosts that reach the store, and updates the views of
    /// all hosts.
    fn update_views(&mut self) {
        let now_ms = self.now_ms;
        for host in 0..HOSTS {
            let registers = self.is_running(host)
                && self.reaches_store(host)
                && self.nodes[host].stops_at_ms.is_none();
            let is_due = now_ms.is_multiple_of(RENEWAL_INTERVAL_MS);
            if registers && (is_due || !self.entries.contains_key(&host)) {
                self.entries.insert(host, now_ms + ENTRY_TTL_MS);
            }
        }
        self.entries.retain(|_, expires_ms| *expires_ms > now_ms);
        if now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
            for node in self.nodes.iter_mut().filter(|node| node.paused_until_ms <= now_ms) {
                node.coordinator.set_down_hosts(at(now_ms), 0);
            }
        }
        for host in 0..HOSTS {
            let (members, verified_at_ms) = match self.nodes[host].remote_coordinator {
                Some(to) if self.can_reach(host, to) && self.is_running(to) => {
                    (self.nodes[to].members.clone(), self.nodes[to].verified_at_ms)
                }
                None if self.reaches_store(host) => {
                    (self.entries.keys().copied().collect(), now_ms)
                }
                _ => continue,
            };
            let node = &mut self.nodes[host];
            if node.paused_until_ms <= now_ms {
                node.verified_at_ms = node.verified_at_ms.max(verified_at_ms);
                if node.members != members {
                    set_members(&mut node.coordinator, now_ms, host, &members);
                    node.members = members;
                }
            }
        }
    }

    /// Makes a host a client of the coordinator that it elects, if not itself.
    fn elect(&mut self, host: usize) {
        let is_stopping = self.nodes[host].stops_at_ms.is_some();
        if let Some(to) = self.choose_coordinator(host).filter(|to| is_stopping || *to < host) {
            self.join(host, to);
        }
    }

    /// Returns the oldest host that `host` can use as its coordinator. Hosts are
    /// numbered by age.
    fn choose_coordinator(&self, host: usize) -> Option<usize> {
        let members = self.nodes[host].members.iter().copied();
        let others = members.filter(|other| {
            let node = &self.nodes[*other];
            *other != host && node.remote_coordinator.is_none() && node.stops_at_ms.is_none()
        });
        others.filter(|other| self.can_reach(host, *other) && self.is_running(*other)).min()
    }

    pub(super) fn step(&mut self) {
        self.update_views();
        for host in 0..HOSTS {
            if !self.is_running(host) {
                continue;
            }
            if self.nodes[host].stops_at_ms.is_some_and(|ms| ms <= self.now_ms) {
                self.restart(host);
                self.nodes[host].paused_until_ms = self.now_ms + RESTART_MS;
                continue;
            }
            if let Some(to) = self.nodes[host].remote_coordinator {
                let is_alive = self.can_reach(host, to) && self.is_running(to);
                if is_alive && self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                    self.send_heartbeat(host, to);
                } else if self.now_ms - self.nodes[host].last_reply_ms > COORDINATOR_SILENCE_MS {
                    self.leave(host);
                }
            } else if self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.elect(host);
            }
            let is_silent = |last_ms: &u64| self.now_ms - last_ms > HOST_SILENCE_MS;
            let clients = &self.nodes[host].clients;
            let expired: Vec<_> = clients
                .iter()
                .filter(|(_, last_ms)| is_silent(last_ms))
                .map(|(client, _)| *client)
                .collect();
            for other in expired {
                self.remove_client(host, other);
            }
        }
        for host in 0..HOSTS {
            while self.idle_until_ms <= self.now_ms && self.serves(host) && self.send(host) {}
        }
        self.now_ms += STEP_MS;
    }

    /// Sends one request to a host. Returns true if it was run.
    fn send(&mut self, host: usize) -> bool {
        self.requests += 1;
        let to = self.nodes[host].remote_coordinator.unwrap_or(host);
        if !self.can_reach(host, to) || !self.is_running(to) {
            return false;
        }
        let (now, number) = (at(self.now_ms), self.requests);
        let mut out = Vec::new();
        let coordinator = &mut self.nodes[to].coordinator;
        let update = RequestUpdate::Submit(Box::new(placement_request(number, REQUEST_TOKENS)));
        coordinator.handle_update(now, &host_id(host), update, &mut out);
        if out.iter().any(|(_, reply)| {
            matches!(reply, PlacementReply::Refuse(_, NotRunReason::OverQuota, _))
        }) {
            return false;
        }
        assert!(matches!(out[..], [(_, PlacementReply::Grant(..))]), "{out:?}");
        coordinator.handle_update(
            now,
            &host_id(host),
            RequestUpdate::Ended(id(number), DispatchEnd::Complete(Usage::default())),
            &mut out,
        );
        *self.admitted.entry(self.now_ms).or_default() += REQUEST_TOKENS;
        true
    }

    pub(super) fn run_until(&mut self, ms: u64) {
        while self.now_ms < ms {
            self.step();
        }
    }

    /// Returns the maximum of units admitted in one window.
    pub(super) fn max_window_units(&self) -> f64 {
        let sum = |from: &u64| self.admitted.range(*from..=*from + WINDOW_MS).map(|(_, n)| n).sum();
        self.admitted.keys().map(sum).fold(0.0, f64::max)
    }
}
