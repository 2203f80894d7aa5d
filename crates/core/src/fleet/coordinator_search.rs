//! The search for a coordinator that responds.
//!
//! An entry in the store may outlive its host, and an attempt to connect to a host without
//! power ends only with a timeout. Such hosts must not be tried again before the others, or
//! a host goes round among them and never comes to one that responds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::HostId, time::MonoTime};

use super::{Member, elect};

/// Time for which a host is not tried again after it did not respond.
const SILENCE_PAUSE: Duration = Duration::from_millis(1_500);

/// Hosts that are not chosen as coordinator for now, and those that come last.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{CoordinatorSearch, Member},
///     ids::HostId,
///     time::MonoTime,
/// };
///
/// let member = |name: &str, incarnation| Member {
///     id: HostId { name: name.parse().unwrap(), incarnation },
///     address: "127.0.0.1:1".parse().unwrap(),
///     token: 0,
///     millicores: 100,
///     forward: None,
/// };
/// let at = MonoTime::from_millis;
/// let (a, b, c, me) = (member("a", 1), member("b", 2), member("c", 3), member("me", 4));
/// let mut search = CoordinatorSearch::default();
/// assert_eq!(search.next_attempt(at(0), [&a, &b, &c], Some(&me)), [&a]);
/// search.host_silent(at(600), a.id.clone());
/// assert_eq!(search.next_attempt(at(600), [&a, &b, &c], Some(&me)), [&b, &c]);
/// // The others come first, however long ago that was.
/// assert_eq!(search.next_attempt(at(9_000), [&a, &b, &c], Some(&me)), [&b, &c]);
/// search.coordinator_found();
/// assert_eq!(search.next_attempt(at(9_000), [&a, &b, &c], Some(&me)), [&a]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CoordinatorSearch {
    /// Hosts that are not chosen until the given time.
    left_out: BTreeMap<HostId, MonoTime>,
    /// Hosts that did not respond when they were last tried, and until when that was.
    silent: BTreeMap<HostId, MonoTime>,
}

impl CoordinatorSearch {
    /// Leaves a host out until the given time.
    pub fn leave_out(&mut self, host: HostId, until: MonoTime) {
        self.left_out.insert(host, until);
    }

    /// Leaves a host out whose session failed.
    pub fn session_failed(&mut self, now: MonoTime, host: HostId) {
        self.leave_out(host, now + SILENCE_PAUSE);
    }

    /// Leaves out a host that did not respond to an attempt to connect. Afterwards it comes
    /// after those that may respond.
    pub fn host_silent(&mut self, now: MonoTime, host: HostId) {
        self.silent.insert(host.clone(), now);
        self.session_failed(now, host);
    }

    /// Records that a host responds.
    pub fn host_responded(&mut self, host: &HostId) {
        self.silent.remove(host);
    }

    /// Ends the search: the next one begins with the host that is elected.
    pub fn coordinator_found(&mut self) {
        self.silent.clear();
    }

    /// Returns true if a host is not chosen for now.
    #[must_use]
    pub fn is_left_out(&self, now: MonoTime, host: &HostId) -> bool {
        self.left_out.get(host).is_some_and(|until| now < *until)
    }

    /// Returns the hosts to try at once: first the one to connect to, then those of which to
    /// find out whether they respond. There is one more for each silent host, so that their
    /// number at most doubles with each attempt. None is returned if `me` wins the election
    /// among the hosts that may be chosen.
    pub fn next_attempt<'a, I>(
        &mut self,
        now: MonoTime,
        others: I,
        me: Option<&Member>,
    ) -> Vec<&'a Member>
    where
        I: IntoIterator<Item = &'a Member>,
    {
        let mut hosts: Vec<_> = others.into_iter().collect();
        let known: BTreeSet<_> = hosts.iter().map(|member| &member.id).collect();
        self.silent.retain(|host, _| known.contains(host));
        self.left_out.retain(|_, until| now < *until);
        hosts.retain(|member| {
            let wins = me.is_none_or(|me| elect([*member, me]) == Some(*member));
            wins && !self.left_out.contains_key(&member.id)
        });
        // Of the silent ones, the one that was tried longest ago.
        hosts.sort_by_key(|member| (self.silent.get(&member.id), member.rank()));
        hosts.truncate(1 + self.silent.len());
        hosts
    }
}
