//! Quotas while hosts change their coordinators, over the whole fleet.
//!
//! Answers the load of a workspace that sends more than its quota to every host
//! all the time: whatever hosts and coordinators do, what passes in any window
//! stays within what the operators allow.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use comfreyway_core::{
    fleet::{
        CallerLimits, Coordinator, FleetConfig, PlacementReply, Quota, QuotaTolerance,
        RequestUpdate, RetryBudgetLimits, RunnerChange, UpstreamConfig, Workspace,
    },
    ids::HostId,
    outcome::NotRunReason,
    request::{DispatchEnd, Usage},
};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::support::{at, entry, host, id, question};

const RULE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 190_000.0, window_s: 8.0 };
const QUOTA: Quota =
    Quota { rate_per_s: 85_000.0, burst: 170_000.0, by_tokens: true, plain_cost: 200.0 };
const RETRIES: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 5.0, window_s: 10.0 };
const WINDOW_MS: u64 = 8_000;
const HOSTS: usize = 8;
/// Tokens of one request.
const COST: f64 = 4_000.0;
/// Time between two rounds of requests.
const STEP_MS: u64 = 20;
/// Time between two signs of life of a host.
const PING_MS: u64 = 200;
/// Silence of a coordinator after which a host decides by itself.
const SILENCE_MS: u64 = 700;
/// Time after which a host that is cut off from the store serves no workspace.
const PROOF_MS: u64 = 1_600;
/// Silence of a host after which its coordinator forgets it.
const HOST_SILENCE_MS: u64 = 1_500;

/// What the operators allow in a window.
fn allowed() -> f64 {
    (QUOTA.rate_per_s * RULE.window_s + QUOTA.burst) * (1.0 + RULE.overage) + RULE.slack
}

fn plan() -> Arc<FleetConfig> {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let upstream = UpstreamConfig { engine: false, max_connections: 10, tokens_per_event: 3 };
    let workspace = Workspace { name: "desk".parse().unwrap(), tier: None, quota: QUOTA };
    let plan = FleetConfig::new(1, 1, limits).with_upstream("dala".parse().unwrap(), upstream);
    Arc::new(plan.with_workspace(workspace, ["key".to_owned()]))
}

fn name(number: usize) -> HostId {
    host(&format!("h{number}"))
}

/// One host, which decides for those that ask it.
struct Node {
    coordinator: Coordinator,
    /// Whom it asks, if not itself.
    asks: Option<usize>,
    /// When it last heard its coordinator.
    heard_ms: u64,
    /// When it last heard each host that asks it.
    asked_by: BTreeMap<usize, u64>,
    /// Until when it stands still.
    frozen_ms: u64,
    /// True if it is cut off from the store and all other hosts.
    cut: bool,
    /// When it was last not cut off.
    proven_ms: u64,
}

impl Node {
    fn new(now_ms: u64, me: usize) -> Self {
        let mut coordinator = Coordinator::new(RETRIES, RULE);
        coordinator.set_config(plan());
        coordinator.set_known_hosts(at(now_ms), HOSTS);
        coordinator.local_host_joined(at(now_ms), name(me));
        let mut runner = entry("a", 1, false);
        runner.slots = 100_000;
        coordinator.apply_runner_changes(
            at(now_ms),
            &[RunnerChange::Usable(runner)],
            &mut Vec::new(),
        );
        let asked_by = BTreeMap::new();
        Self {
            coordinator,
            asks: None,
            heard_ms: now_ms,
            asked_by,
            frozen_ms: 0,
            cut: false,
            proven_ms: now_ms,
        }
    }
}

/// The hosts, and what has passed through them.
struct Fleet {
    nodes: Vec<Node>,
    passed: BTreeMap<u64, f64>,
    requests: u128,
    now_ms: u64,
    /// Until when the workspace sends nothing.
    rest_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        let nodes = (0..HOSTS).map(|me| Node::new(0, me)).collect();
        let mut fleet = Self { nodes, passed: BTreeMap::new(), requests: 0, now_ms: 0, rest_ms: 0 };
        for host in 1..HOSTS {
            fleet.follow(host, 0);
        }
        fleet
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        a == b || !(self.nodes[a].cut || self.nodes[b].cut)
    }

    /// True if the host serves workspaces.
    fn serves(&self, host: usize) -> bool {
        self.awake(host) && self.now_ms - self.nodes[host].proven_ms <= PROOF_MS
    }

    fn awake(&self, host: usize) -> bool {
        self.nodes[host].frozen_ms <= self.now_ms
    }

    /// `host` asks `to` from now on, and nobody asks `host`.
    fn follow(&mut self, host: usize, to: usize) {
        self.leave(host);
        let now = at(self.now_ms);
        for other in 0..HOSTS {
            if self.nodes[other].asks == Some(host) {
                self.leave(other);
            }
        }
        self.nodes[host].coordinator.host_left(now, &name(host), &mut Vec::new());
        self.nodes[host].asks = Some(to);
        self.nodes[host].heard_ms = self.now_ms;
        self.nodes[to].coordinator.host_joined(now, name(host));
        self.nodes[to].asked_by.insert(host, self.now_ms);
        self.ping(host, to);
    }

    /// `host` decides by itself from now on. Its coordinator hears of it if it can.
    fn leave(&mut self, host: usize) {
        let now = at(self.now_ms);
        let Some(left) = self.nodes[host].asks.take() else { return };
        self.nodes[host].coordinator.local_host_joined(now, name(host));
        if self.reaches(host, left) && self.awake(left) {
            self.forget(left, host);
        }
    }

    fn forget(&mut self, coordinator: usize, host: usize) {
        let now = at(self.now_ms);
        let node = &mut self.nodes[coordinator];
        if node.asked_by.remove(&host).is_some() {
            node.coordinator.host_left(now, &name(host), &mut Vec::new());
        }
    }

    fn ping(&mut self, host: usize, to: usize) {
        let now = at(self.now_ms);
        // Every host has a clock of its own.
        let sent = at(self.now_ms + 1_000_000 * host as u64);
        self.nodes[to].coordinator.host_heartbeat(now, &name(host), sent);
        self.nodes[to].asked_by.insert(host, self.now_ms);
        self.nodes[host].heard_ms = self.now_ms;
    }

    /// The process of a host starts anew.
    fn restart(&mut self, host: usize) {
        for other in 0..HOSTS {
            if self.nodes[other].asks == Some(host) {
                self.leave(other);
            }
        }
        if let Some(left) = self.nodes[host].asks {
            self.forget(left, host);
        }
        self.nodes[host] = Node::new(self.now_ms, host);
    }

    /// The oldest host that a host can ask, as far as it knows.
    fn choice(&self, host: usize) -> Option<usize> {
        let others = (0..HOSTS).filter(|other| *other != host && self.nodes[*other].asks.is_none());
        others.filter(|other| self.reaches(host, *other) && self.awake(*other)).min()
    }

    fn step(&mut self) {
        for host in 0..HOSTS {
            if !self.awake(host) {
                continue;
            }
            if !self.nodes[host].cut {
                self.nodes[host].proven_ms = self.now_ms;
            }
            if let Some(to) = self.nodes[host].asks {
                let lives = self.reaches(host, to) && self.awake(to);
                if lives && self.now_ms.is_multiple_of(PING_MS) {
                    self.ping(host, to);
                } else if self.now_ms - self.nodes[host].heard_ms > SILENCE_MS {
                    self.leave(host);
                }
            } else if self.now_ms.is_multiple_of(PING_MS)
                && let Some(older) = self.choice(host).filter(|other| *other < host)
            {
                self.follow(host, older);
            }
            let silent = |heard: &u64| self.now_ms - heard > HOST_SILENCE_MS;
            let asked_by = &self.nodes[host].asked_by;
            let gone: Vec<_> =
                asked_by.iter().filter(|(_, heard)| silent(heard)).map(|(name, _)| *name).collect();
            for other in gone {
                self.forget(host, other);
            }
        }
        for host in 0..HOSTS {
            while self.rest_ms <= self.now_ms && self.serves(host) && self.send(host) {}
        }
        self.now_ms += STEP_MS;
    }

    /// Sends one request to a host; true if it ran.
    fn send(&mut self, host: usize) -> bool {
        self.requests += 1;
        let to = self.nodes[host].asks.unwrap_or(host);
        if !self.reaches(host, to) || !self.awake(to) {
            return false;
        }
        let (now, number) = (at(self.now_ms), self.requests);
        let mut out = Vec::new();
        let coordinator = &mut self.nodes[to].coordinator;
        let ask = RequestUpdate::Submit(Box::new(question(number, COST)));
        coordinator.handle_update(now, &name(host), ask, &mut out);
        if out
            .iter()
            .any(|(_, tell)| matches!(tell, PlacementReply::Refuse(_, NotRunReason::OverQuota, _)))
        {
            return false;
        }
        assert!(matches!(out[..], [(_, PlacementReply::Grant(..))]), "{out:?}");
        coordinator.handle_update(
            now,
            &name(host),
            RequestUpdate::Ended(id(number), DispatchEnd::Complete(Usage::default())),
            &mut out,
        );
        *self.passed.entry(self.now_ms).or_default() += COST;
        true
    }

    fn run_until(&mut self, ms: u64) {
        while self.now_ms < ms {
            self.step();
        }
    }

    /// The most that passed in one window.
    fn most(&self) -> f64 {
        let sum = |from: &u64| self.passed.range(*from..=*from + WINDOW_MS).map(|(_, n)| n).sum();
        self.passed.keys().map(sum).fold(0.0, f64::max)
    }
}

/// The coordinator is cut off, and the others choose another one. The workspace
/// rests and comes back just before the cut ends, and the others ask the first
/// again, which has granted the workspace nothing meanwhile.
#[test]
fn a_coordinator_that_comes_back_does_not_grant_again_what_another_has_granted() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.nodes[0].cut = true;
    fleet.rest_ms = 20_000;
    fleet.run_until(21_000);
    fleet.nodes[0].cut = false;
    fleet.run_until(30_000);
    assert!(fleet.most() <= allowed(), "{} of {}", fleet.most(), allowed());
}

/// The process of the coordinator stands still. The workspace comes back just
/// before it goes on.
#[test]
fn a_coordinator_that_stood_still_does_not_use_the_shares_of_others() {
    let mut fleet = Fleet::new();
    fleet.run_until(10_000);
    fleet.nodes[0].frozen_ms = 21_000;
    fleet.rest_ms = 20_000;
    fleet.run_until(30_000);
    assert!(fleet.most() <= allowed(), "{} of {}", fleet.most(), allowed());
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Cut(usize, u64),
    Freeze(usize, u64),
    Restart(usize),
    Rest(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    // The first hosts are those that coordinate.
    let victim = prop_oneof![3 => 0..2_usize, 1 => 0..HOSTS];
    prop_oneof![
        (victim.clone(), 300..9_000_u64).prop_map(|(host, ms)| Trouble::Cut(host, ms)),
        (victim.clone(), 300..9_000_u64).prop_map(|(host, ms)| Trouble::Freeze(host, ms)),
        victim.prop_map(Trouble::Restart),
        (500..6_000_u64).prop_map(Trouble::Rest),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    })]

    /// Cuts, pauses and restarts follow each other, two seconds and more apart.
    #[test]
    fn no_order_of_troubles_lets_more_pass_than_allowed(
        troubles in prop::collection::vec((trouble(), 2_000..5_000_u64), 1..6),
    ) {
        let mut fleet = Fleet::new();
        fleet.run_until(9_000);
        let mut cuts: Vec<(usize, u64)> = Vec::new();
        for (trouble, pause_ms) in troubles {
            match trouble {
                Trouble::Cut(host, ms) => {
                    fleet.nodes[host].cut = true;
                    cuts.push((host, fleet.now_ms + ms));
                }
                Trouble::Freeze(host, ms) => fleet.nodes[host].frozen_ms = fleet.now_ms + ms,
                Trouble::Restart(host) => fleet.restart(host),
                Trouble::Rest(ms) => fleet.rest_ms = fleet.now_ms + ms,
            }
            let until = fleet.now_ms + pause_ms;
            while fleet.now_ms < until {
                for (host, _) in cuts.iter().filter(|(_, end)| *end <= fleet.now_ms) {
                    fleet.nodes[*host].cut = false;
                }
                cuts.retain(|(_, end)| *end > fleet.now_ms);
                fleet.step();
            }
        }
        fleet.run_until(fleet.now_ms + WINDOW_MS);
        prop_assert!(fleet.most() <= allowed(), "{} of {}", fleet.most(), allowed());
    }
}
