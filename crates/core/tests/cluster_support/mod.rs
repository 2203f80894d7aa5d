//! Deterministic simulation of hosts, their connections and a key-value service.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use comfreyway_core::{
    cluster::{
        ClaimSource, Cluster, ClusterAction, ClusterInput, PoolRecord, PresenceResult, ReadResult,
        StoredRecord, WriteResult,
    },
    ids::{Epoch, HostId, PoolId},
    time::MonoTime,
};

const STEP_MS: u64 = 5;
const LEASE_MS: u64 = 2_000;
const RENEW_MS: u64 = 500;
const PEER_SILENCE_MS: u64 = 1_000;
const MAX_RUN_MS: u64 = 60_000;

/// Effect of a write whose reply is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LostReply {
    Applied,
    NotApplied,
    AppliedThenDown,
}

struct Node {
    id: HostId,
    cluster: Cluster,
    running: bool,
    paused: bool,
    inbox: VecDeque<ClusterInput>,
    connected: BTreeSet<HostId>,
    is_owner: bool,
    claim_source: Option<ClaimSource>,
    wants_lease: bool,
    lease: Option<(HostId, u64)>,
    next_renewal: u64,
    paused_at: u64,
}

pub(crate) struct World {
    now: u64,
    nodes: Vec<Node>,
    stored: Option<StoredRecord>,
    service_down: bool,
    lost_replies: VecDeque<LostReply>,
    isolated: BTreeSet<usize>,
}

pub(crate) fn pool() -> PoolId {
    PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() }
}

pub(crate) fn host(ix: usize) -> HostId {
    HostId { name: format!("h{ix}").parse().unwrap(), incarnation: 1 }
}

fn node(id: HostId) -> Node {
    Node {
        cluster: Cluster::new(id.clone()),
        id,
        running: true,
        paused: false,
        inbox: VecDeque::from([
            ClusterInput::PoolsConfigured(BTreeSet::from([pool()])),
            ClusterInput::Tick,
        ]),
        connected: BTreeSet::new(),
        is_owner: false,
        claim_source: None,
        wants_lease: false,
        lease: None,
        next_renewal: 0,
        paused_at: 0,
    }
}

impl World {
    pub(crate) fn new(hosts: usize) -> Self {
        let nodes = (0..hosts).map(|ix| node(host(ix))).collect();
        let (stored, lost_replies) = (None, VecDeque::new());
        Self { now: 0, nodes, stored, service_down: false, lost_replies, isolated: BTreeSet::new() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn run_until(&mut self, done: impl Fn(&Self) -> bool) {
        let end = self.now + MAX_RUN_MS;
        while !done(self) {
            assert!(self.now < end, "not reached: owners {:?}", self.owners());
            self.step();
        }
    }

    pub(crate) fn kill(&mut self, ix: usize) {
        self.nodes[ix].running = false;
    }

    pub(crate) fn replace(&mut self, ix: usize) {
        let incarnation = self.nodes[ix].id.incarnation + 1;
        let lease = self.nodes[ix].lease.clone();
        self.nodes[ix] = node(HostId { name: host(ix).name, incarnation });
        self.nodes[ix].lease = lease;
    }

    pub(crate) fn pause(&mut self, ix: usize) {
        self.nodes[ix].paused = true;
        self.nodes[ix].paused_at = self.now;
    }

    pub(crate) fn resume(&mut self, ix: usize) {
        self.nodes[ix].paused = false;
    }

    pub(crate) fn isolate(&mut self, ix: usize) {
        self.isolated.insert(ix);
    }

    pub(crate) fn set_service_down(&mut self, down: bool) {
        self.service_down = down;
    }

    pub(crate) fn lose_write_replies(&mut self, fault: LostReply, count: usize) {
        self.lost_replies.extend(std::iter::repeat_n(fault, count));
    }

    pub(crate) fn input(&mut self, ix: usize, input: ClusterInput) {
        self.nodes[ix].inbox.push_back(input);
    }

    /// Returns the hosts that consider themselves the owner, including paused ones.
    pub(crate) fn owners(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, n)| n.running && n.is_owner).map(|(ix, _)| ix).collect()
    }

    pub(crate) fn only_owner(&self) -> usize {
        let owners = self.owners();
        assert_eq!(owners.len(), 1, "owners {owners:?}");
        owners[0]
    }

    pub(crate) fn view(&self, ix: usize) -> (Option<usize>, Epoch) {
        let (owner, epoch) = self.nodes[ix].cluster.owner(&pool()).unwrap();
        (owner.and_then(|owner| self.nodes.iter().position(|n| n.id == *owner)), epoch)
    }

    pub(crate) fn epoch(&self, ix: usize) -> Epoch {
        self.view(ix).1
    }

    pub(crate) fn claim_source(&self, ix: usize) -> Option<&ClaimSource> {
        self.nodes[ix].claim_source.as_ref()
    }

    pub(crate) fn stored(&self) -> Option<PoolRecord> {
        self.stored.as_ref().map(|stored| stored.record.clone())
    }

    pub(crate) fn recorded_standby(&self) -> Option<usize> {
        let standby = self.stored()?.standby?;
        self.nodes.iter().position(|n| n.id == standby)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for ix in 0..self.nodes.len() {
            if self.nodes[ix].running && !self.nodes[ix].paused {
                self.update_connections(ix);
                self.renew_lease(ix);
                self.handle_inbox(ix);
            }
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let node = &self.nodes[to];
        let is_silent = node.paused && self.now > node.paused_at + PEER_SILENCE_MS;
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        node.running && !is_silent && !is_isolated
    }

    fn update_connections(&mut self, ix: usize) {
        let others = (0..self.nodes.len()).filter(|&to| to != ix && self.can_reach(ix, to));
        let reachable: BTreeSet<_> = others.map(|to| self.nodes[to].id.clone()).collect();
        let node = &mut self.nodes[ix];
        let down = node.connected.difference(&reachable).cloned().map(ClusterInput::PeerDown);
        let down: Vec<_> = down.collect();
        let new = reachable.difference(&node.connected).cloned().map(ClusterInput::PeerUp);
        node.inbox.extend(down.into_iter().chain(new));
        node.connected = reachable;
    }

    fn renew_lease(&mut self, ix: usize) {
        let node = &mut self.nodes[ix];
        if node.wants_lease && !self.service_down && self.now >= node.next_renewal {
            node.next_renewal = self.now + RENEW_MS;
            node.lease = Some((node.id.clone(), self.now + LEASE_MS));
            let until = MonoTime::from_millis(self.now + LEASE_MS);
            node.inbox.push_back(ClusterInput::LeaseRenewed(until));
        }
    }

    fn handle_inbox(&mut self, ix: usize) {
        let now = MonoTime::ZERO + Duration::from_millis(self.now);
        let mut inputs = std::mem::take(&mut self.nodes[ix].inbox);
        inputs.push_back(ClusterInput::Tick);
        for input in inputs {
            let mut actions = Vec::new();
            self.nodes[ix].cluster.handle(now, input, &mut actions);
            for action in actions {
                self.carry_out(ix, action);
            }
        }
    }

    fn carry_out(&mut self, ix: usize, action: ClusterAction) {
        match action {
            ClusterAction::Read(pool) => {
                let result = match self.service_down {
                    true => ReadResult::Failed,
                    false => ReadResult::Record(self.stored.clone()),
                };
                self.input(ix, ClusterInput::ReadCompleted { pool, result });
            }
            ClusterAction::Write { pool, expected, record } => {
                let result = self.write(expected, record);
                self.input(ix, ClusterInput::WriteCompleted { pool, result });
            }
            ClusterAction::ReadPresence { pool, host } => {
                let result = self.presence(&host);
                self.input(ix, ClusterInput::PresenceReadCompleted { pool, result });
            }
            ClusterAction::HoldLease(hold) => self.nodes[ix].wants_lease = hold,
            ClusterAction::BeginTerm { claim_source, .. } => {
                self.nodes[ix].is_owner = true;
                self.nodes[ix].claim_source = Some(claim_source);
            }
            ClusterAction::EndTerm(_) => self.nodes[ix].is_owner = false,
            ClusterAction::SetStandby { pool, host: Some(host) } => {
                self.input(ix, ClusterInput::StandbyReady { pool, host });
            }
            ClusterAction::Announce { to, announcement } => {
                let input = ClusterInput::Announced(announcement);
                self.send(ix, to.as_ref(), &input);
            }
            ClusterAction::HandOver { to, pool, epoch } => {
                self.send(ix, Some(&to), &ClusterInput::HandOver { pool, epoch });
            }
            ClusterAction::AnnounceLeaving => {
                let input = ClusterInput::PeerLeaving(self.nodes[ix].id.clone());
                self.send(ix, None, &input);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: Option<&HostId>, input: &ClusterInput) {
        for ix in 0..self.nodes.len() {
            let is_recipient = to.is_none_or(|to| *to == self.nodes[ix].id);
            if ix != from && is_recipient && self.can_reach(from, ix) {
                self.input(ix, input.clone());
            }
        }
    }

    fn write(&mut self, expected: u64, record: PoolRecord) -> WriteResult {
        if self.service_down {
            return WriteResult::NotDone;
        }
        let fault = self.lost_replies.pop_front();
        if fault == Some(LostReply::NotApplied) {
            return WriteResult::Uncertain;
        }
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        if revision != expected {
            return WriteResult::Mismatch(self.stored.clone());
        }
        self.stored = Some(StoredRecord { revision: revision + 1, record });
        self.service_down |= fault == Some(LostReply::AppliedThenDown);
        match fault {
            Some(_) => WriteResult::Uncertain,
            None => WriteResult::Written(revision + 1),
        }
    }

    fn presence(&self, name: &comfreyway_core::ids::HostName) -> PresenceResult {
        if self.service_down {
            return PresenceResult::Failed;
        }
        let node = self.nodes.iter().find(|n| n.id.name == *name).unwrap();
        match &node.lease {
            Some((id, until)) if *until > self.now => PresenceResult::Held(id.clone()),
            _ => PresenceResult::Expired,
        }
    }
}
