//! The peers of one host and the tree along which changes go.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::HostName;

/// Most children of a host in the tree.
pub const FAN_OUT: usize = 4;

/// Most hosts of one neighbourhood that watch the key-value service.
pub const MAX_WATCHERS: usize = 3;

/// The peers with a session, and the last version that each has said.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    me: HostName,
    up: BTreeSet<HostName>,
    /// A peer may speak before the session towards it is up.
    heard: BTreeMap<HostName, u64>,
    next_announced: usize,
}

impl Peers {
    pub(super) fn new(me: HostName) -> Self {
        Self { me, up: BTreeSet::new(), heard: BTreeMap::new(), next_announced: 0 }
    }

    pub(super) fn up(&mut self, peer: HostName) {
        self.up.insert(peer);
    }

    pub(super) fn down(&mut self, peer: &HostName) {
        self.up.remove(peer);
        self.heard.remove(peer);
    }

    /// Notes a version that a peer has. Versions never fall.
    pub(super) fn note(&mut self, peer: &HostName, version: u64) {
        let known = self.heard.entry(peer.clone()).or_default();
        *known = version.max(*known);
    }

    /// The last version that a peer has said.
    pub(super) fn version(&self, peer: &HostName) -> Option<u64> {
        self.heard.get(peer).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.up.len()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &HostName> {
        self.up.iter()
    }

    /// True if every peer has said its version.
    pub(super) fn all_known(&self) -> bool {
        self.up.iter().all(|peer| self.heard.contains_key(peer))
    }

    /// The highest version that a peer has said.
    pub(super) fn highest(&self) -> u64 {
        self.up.iter().filter_map(|peer| self.version(peer)).max().unwrap_or(0)
    }

    /// Place of this host among itself and its peers, in order of names.
    fn place(&self) -> usize {
        self.names().filter(|name| **name < self.me).count()
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.place() < MAX_WATCHERS
    }

    /// The hosts that a new version goes to: this host's children in the tree
    /// and, from a host that is not among them, the watchers at its root.
    pub(super) fn receivers(&self) -> Vec<HostName> {
        let place = self.place();
        let mut order: Vec<_> = self.names().collect();
        order.insert(place, &self.me);
        let first_child = place * FAN_OUT + 1;
        let children = order.iter().skip(first_child).take(FAN_OUT);
        let roots =
            if place < MAX_WATCHERS { &[] } else { &order[..MAX_WATCHERS.min(order.len())] };
        children.chain(roots).map(|name| (*name).clone()).collect()
    }

    /// The next `count` peers in turn.
    pub(super) fn in_turn(&mut self, count: usize) -> Vec<HostName> {
        let len = self.up.len();
        let count = count.min(len);
        let start = self.next_announced % len.max(1);
        self.next_announced = start + count;
        self.up.iter().cycle().skip(start).take(count).cloned().collect()
    }
}
