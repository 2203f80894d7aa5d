//! The peers of a host and the tree along which changes are forwarded.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::HostName;

/// Maximum number of children of a host in the tree.
pub const FAN_OUT: usize = 4;

/// Maximum number of hosts, among those connected to each other, that watch the
/// key-value service.
pub const MAX_WATCHERS: usize = 3;

/// The connected peers and the highest version reported by each.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    me: HostName,
    connected: BTreeSet<HostName>,
    /// May contain a peer whose message arrived before the session with it is up.
    versions: BTreeMap<HostName, u64>,
    next_announced: usize,
}

impl Peers {
    pub(super) fn new(me: HostName) -> Self {
        Self { me, connected: BTreeSet::new(), versions: BTreeMap::new(), next_announced: 0 }
    }

    pub(super) fn up(&mut self, peer: HostName) {
        self.connected.insert(peer);
    }

    pub(super) fn down(&mut self, peer: &HostName) {
        self.connected.remove(peer);
        self.versions.remove(peer);
    }

    /// Records a version reported by a peer. Versions never decrease, so a lower
    /// one is outdated and ignored.
    pub(super) fn record_version(&mut self, peer: &HostName, version: u64) {
        let known = self.versions.entry(peer.clone()).or_default();
        *known = version.max(*known);
    }

    /// Returns the highest version that the peer has reported.
    pub(super) fn version(&self, peer: &HostName) -> Option<u64> {
        self.versions.get(peer).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.connected.len()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &HostName> {
        self.connected.iter()
    }

    /// Returns true if every connected peer has reported a version.
    pub(super) fn all_versions_known(&self) -> bool {
        self.connected.iter().all(|peer| self.versions.contains_key(peer))
    }

    /// Returns the highest version that a connected peer has reported.
    pub(super) fn highest_version(&self) -> u64 {
        self.connected.iter().filter_map(|peer| self.version(peer)).max().unwrap_or(0)
    }

    /// Returns the index of this host in the sorted names of itself and its
    /// peers.
    fn index(&self) -> usize {
        self.names().filter(|name| **name < self.me).count()
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.index() < MAX_WATCHERS
    }

    /// Returns the peers that this host forwards a new version to: its children
    /// in the tree and, unless it is a watcher itself, the watchers at the
    /// root.
    pub(super) fn receivers(&self) -> Vec<HostName> {
        let index = self.index();
        let mut order: Vec<_> = self.names().collect();
        order.insert(index, &self.me);
        let first_child = index * FAN_OUT + 1;
        let children = order.iter().skip(first_child).take(FAN_OUT);
        let roots =
            if index < MAX_WATCHERS { &[] } else { &order[..MAX_WATCHERS.min(order.len())] };
        children.chain(roots).map(|name| (*name).clone()).collect()
    }

    /// Returns the next `count` peers, round-robin.
    pub(super) fn next_round_robin(&mut self, count: usize) -> Vec<HostName> {
        let len = self.connected.len();
        let count = count.min(len);
        let start = self.next_announced % len.max(1);
        self.next_announced = start + count;
        self.connected.iter().cycle().skip(start).take(count).cloned().collect()
    }
}
