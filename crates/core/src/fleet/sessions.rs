//! The newest session of each client host of a coordinator.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// Result of opening a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenOutcome {
    /// The host had no session before.
    First,
    /// The host abandoned its former session, which has not ended here yet. The
    /// requests of that session must be discarded.
    Replaces,
    /// A newer session of the host was opened before this one.
    Outdated,
}

/// Client hosts with their current sessions, numbered in ascending order.
///
/// A host that reconnects submits all its requests again. The requests of its
/// former session must be discarded, or they would occupy slots for nothing.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{fleet::{HostSessions, OpenOutcome}, ids::HostId};
///
/// let host = HostId { name: "a".parse().unwrap(), incarnation: 1 };
/// let mut sessions = HostSessions::default();
/// assert_eq!(sessions.open(&host, 1, "first"), OpenOutcome::First);
/// assert_eq!(sessions.open(&host, 2, "second"), OpenOutcome::Replaces);
/// assert!(!sessions.is_current(&host, 1));
/// assert!(!sessions.close(&host, 1));
/// assert_eq!(sessions.get(&host), Some(&"second"));
/// ```
#[derive(Clone, Debug)]
pub struct HostSessions<T> {
    sessions: BTreeMap<HostId, (u64, T)>,
}

impl<T> Default for HostSessions<T> {
    fn default() -> Self {
        Self { sessions: BTreeMap::new() }
    }
}

impl<T> HostSessions<T> {
    /// Opens a session, unless a newer one is open.
    pub fn open(&mut self, host: &HostId, session: u64, value: T) -> OpenOutcome {
        let outcome = match self.sessions.get(host) {
            Some((current, _)) if *current > session => return OpenOutcome::Outdated,
            Some(_) => OpenOutcome::Replaces,
            None => OpenOutcome::First,
        };
        self.sessions.insert(host.clone(), (session, value));
        outcome
    }

    /// Closes a session. Returns true if it was the host's current one.
    pub fn close(&mut self, host: &HostId, session: u64) -> bool {
        self.is_current(host, session) && self.sessions.remove(host).is_some()
    }

    /// Returns true if this is the host's current session.
    #[must_use]
    pub fn is_current(&self, host: &HostId, session: u64) -> bool {
        self.sessions.get(host).is_some_and(|(current, _)| *current == session)
    }

    /// Returns the value stored for a host.
    #[must_use]
    pub fn get(&self, host: &HostId) -> Option<&T> {
        self.sessions.get(host).map(|(_, value)| value)
    }

    /// Returns the value stored for a host, mutably.
    pub fn get_mut(&mut self, host: &HostId) -> Option<&mut T> {
        self.sessions.get_mut(host).map(|(_, value)| value)
    }

    /// Removes a host, whatever its session.
    pub fn remove(&mut self, host: &HostId) {
        self.sessions.remove(host);
    }

    /// Returns the hosts with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &T)> {
        self.sessions.iter().map(|(host, (_, value))| (host, value))
    }

    /// Returns the number of hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns true if there is no host.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
