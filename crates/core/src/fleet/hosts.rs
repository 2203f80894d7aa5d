//! The hosts that may use the capacity of the fleet.
//!
//! No single source lists them. A host that stops as planned, or that can't renew its
//! lease, has no entry in the store and still serves; a host that lost its coordinator
//! has no session and still uses its own share. A host that is left out adds its share
//! to those of the others, so each source counts, for as long as a host can serve after
//! it was last seen.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::HostName, time::MonoTime};

#[derive(Clone, Copy, Debug)]
struct Presence {
    registered: bool,
    sessions: usize,
    last_seen: MonoTime,
}

impl Presence {
    fn is_present(self) -> bool {
        self.registered || self.sessions > 0
    }
}

/// Counts the hosts of the fleet from the store's entries, the sessions with this host
/// and the reports of the coordinator.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{fleet::FleetHosts, ids::HostName, time::MonoTime};
///
/// let name = |name: &str| name.parse::<HostName>().unwrap();
/// let at = MonoTime::from_millis;
/// let mut hosts = FleetHosts::new(Duration::from_secs(3));
/// hosts.set_registered(at(0), [&name("a"), &name("b")]);
/// hosts.session_opened(at(0), &name("b"));
/// hosts.set_registered(at(1), [&name("a")]);
/// assert_eq!(hosts.present(), 2);
/// hosts.session_closed(at(2), &name("b"));
/// assert_eq!((hosts.present(), hosts.known(at(3))), (1, 2));
/// assert_eq!(hosts.known(at(3_003)), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetHosts {
    memory: Duration,
    hosts: BTreeMap<HostName, Presence>,
    /// Number of hosts that the coordinator reported, and when.
    reported: Option<(usize, MonoTime)>,
}

impl FleetHosts {
    /// Creates an empty fleet. A host counts for `memory` after it was last seen.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Sets the hosts that are registered in the store.
    pub fn set_registered<'a, I>(&mut self, now: MonoTime, names: I)
    where
        I: IntoIterator<Item = &'a HostName>,
    {
        for presence in self.hosts.values_mut().filter(|presence| presence.registered) {
            *presence = Presence { registered: false, last_seen: now, ..*presence };
        }
        for name in names {
            self.update(now, name, |presence| presence.registered = true);
        }
        self.forget(now);
    }

    /// Records that a host opened a session with this one.
    pub fn session_opened(&mut self, now: MonoTime, name: &HostName) {
        self.update(now, name, |presence| presence.sessions += 1);
    }

    /// Records that a session with a host ended.
    pub fn session_closed(&mut self, now: MonoTime, name: &HostName) {
        if let Some(presence) = self.hosts.get_mut(name) {
            presence.sessions = presence.sessions.saturating_sub(1);
            presence.last_seen = now;
        }
        self.forget(now);
    }

    /// Records how many hosts the coordinator of this host knows. A lower number counts
    /// once a higher one is forgotten.
    pub fn set_reported(&mut self, now: MonoTime, hosts: usize) {
        if self.recent_report(now) <= hosts {
            self.reported = Some((hosts, now));
        }
    }

    /// Returns the number of hosts that have an entry in the store or a session with
    /// this host.
    #[must_use]
    pub fn present(&self) -> usize {
        self.hosts.values().filter(|presence| presence.is_present()).count()
    }

    /// Returns the number of hosts that may be serving.
    #[must_use]
    pub fn known(&self, now: MonoTime) -> usize {
        let counts = |presence: &&Presence| presence.is_present() || self.remembers(presence, now);
        self.hosts.values().filter(counts).count().max(self.recent_report(now))
    }

    fn remembers(&self, presence: &Presence, now: MonoTime) -> bool {
        now.since(presence.last_seen) <= self.memory
    }

    fn recent_report(&self, now: MonoTime) -> usize {
        let recent = self.reported.filter(|(_, at)| now.since(*at) <= self.memory);
        recent.map_or(0, |(hosts, _)| hosts)
    }

    fn update<F>(&mut self, now: MonoTime, name: &HostName, change: F)
    where
        F: FnOnce(&mut Presence),
    {
        if let Some(presence) = self.hosts.get_mut(name) {
            change(presence);
        } else {
            let mut presence = Presence { registered: false, sessions: 0, last_seen: now };
            change(&mut presence);
            self.hosts.insert(name.clone(), presence);
        }
    }

    fn forget(&mut self, now: MonoTime) {
        let memory = self.memory;
        self.hosts
            .retain(|_, presence| presence.is_present() || now.since(presence.last_seen) <= memory);
    }
}
