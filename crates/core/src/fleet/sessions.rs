//! The hosts that ask a coordinator, each on its newest session.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// What a session that came up is to the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenOutcome {
    /// The host did not ask before.
    First,
    /// The host has given its former session up, although that has not ended
    /// here: what was asked on it is void.
    Replaces,
    /// A newer session of the host came up before this one.
    Outdated,
}

/// Hosts that ask, with the numbers of their sessions, which rise.
///
/// A host that comes again tells everything anew. What a former session still
/// holds must not count besides, or places would be held for nothing.
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
    /// A session came up, unless it is too late.
    pub fn open(&mut self, host: &HostId, session: u64, value: T) -> OpenOutcome {
        let up = match self.sessions.get(host) {
            Some((present, _)) if *present > session => return OpenOutcome::Outdated,
            Some(_) => OpenOutcome::Replaces,
            None => OpenOutcome::First,
        };
        self.sessions.insert(host.clone(), (session, value));
        up
    }

    /// A session has ended. True if the host asks no more by that.
    pub fn close(&mut self, host: &HostId, session: u64) -> bool {
        self.is_current(host, session) && self.sessions.remove(host).is_some()
    }

    /// True if this is the session on which the host asks.
    #[must_use]
    pub fn is_current(&self, host: &HostId, session: u64) -> bool {
        self.sessions.get(host).is_some_and(|(present, _)| *present == session)
    }

    /// What is kept of a host that asks.
    #[must_use]
    pub fn get(&self, host: &HostId) -> Option<&T> {
        self.sessions.get(host).map(|(_, value)| value)
    }

    /// What is kept of a host that asks.
    pub fn get_mut(&mut self, host: &HostId) -> Option<&mut T> {
        self.sessions.get_mut(host).map(|(_, value)| value)
    }

    /// Forgets a host, whatever its session.
    pub fn remove(&mut self, host: &HostId) {
        self.sessions.remove(host);
    }

    /// The hosts that ask.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &T)> {
        self.sessions.iter().map(|(host, (_, value))| (host, value))
    }

    /// Number of the hosts that ask.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// True if no host asks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
