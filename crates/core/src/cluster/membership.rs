//! Hosts of the cluster that exist and that are up.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HostId, HostName};

/// Hosts of the cluster that exist and that are up, as seen by one host.
#[derive(Clone, Debug)]
pub struct Membership {
    me: HostId,
    up: BTreeMap<HostName, HostId>,
    leaving: BTreeSet<HostId>,
    seen: BTreeSet<HostName>,
    listed: Option<BTreeSet<HostName>>,
    stopping: bool,
}

impl Membership {
    /// Creates the membership of a host without known peers.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            me,
            up: BTreeMap::new(),
            leaving: BTreeSet::new(),
            seen: BTreeSet::new(),
            listed: None,
            stopping: false,
        }
    }

    /// This host.
    #[must_use]
    pub fn me(&self) -> &HostId {
        &self.me
    }

    /// True if there is a session with this incarnation of the host, or it is
    /// this host.
    #[must_use]
    pub fn is_up(&self, host: &HostId) -> bool {
        *host == self.me || self.up.get(&host.name) == Some(host)
    }

    /// True if the host may own a pool: it is up and not leaving.
    #[must_use]
    pub fn is_candidate(&self, host: &HostId) -> bool {
        let leaving = match *host == self.me {
            true => self.stopping,
            false => self.leaving.contains(host),
        };
        self.is_up(host) && !leaving
    }

    /// Hosts that may own a pool, including this one unless it is stopping.
    pub fn candidates(&self) -> impl Iterator<Item = &HostId> {
        let all = self.up.values().chain([&self.me]);
        all.filter(|host| self.is_candidate(host))
    }

    /// True if this host reaches more than half of the hosts that exist.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        let known = self.listed.as_ref().unwrap_or(&self.seen);
        let others = known.iter().filter(|name| **name != self.me.name).count();
        let reached = known.iter().filter(|name| self.up.contains_key(*name)).count();
        2 * (reached + 1) > others + 1
    }

    pub(super) fn peer_up(&mut self, host: HostId) {
        self.seen.insert(host.name.clone());
        self.up.insert(host.name.clone(), host);
    }

    pub(super) fn peer_down(&mut self, host: &HostId) {
        if self.up.get(&host.name) == Some(host) {
            self.up.remove(&host.name);
        }
    }

    pub(super) fn peer_leaving(&mut self, host: HostId) {
        self.leaving.insert(host);
    }

    pub(super) fn set_hosts(&mut self, names: BTreeSet<HostName>) {
        self.leaving.retain(|host| names.contains(&host.name));
        self.listed = Some(names);
    }

    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }
}
