//! Election of a coordinator among the hosts that this one knows.

use comfreyway_core::{fleet::Member, time::MonoTime};

use super::FleetControl;

/// This host's entry in the store, as the other hosts see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnEntry {
    /// Not written yet.
    Pending,
    /// Present, so the other hosts may elect this one.
    Listed,
    /// Expired or removed.
    Lost,
}

impl FleetControl {
    /// Returns the hosts to try as coordinator at once, the one to connect to first; none if
    /// this host is elected.
    pub(super) fn next_attempt(&mut self, now: MonoTime) -> Vec<Member> {
        let others = self.members.values().filter(|m| m.id.name != self.me.id.name);
        // A client of this host does not coordinate.
        let others = others.filter(|member| self.clients.get(&member.id).is_none());
        // The others don't know of a host without an entry and elect another one.
        let is_unknown = self.own_entry == OwnEntry::Lost && self.clients.is_empty();
        let is_eligible =
            !self.stopping && !is_unknown && !self.search.is_left_out(now, &self.me.id);
        let me = is_eligible.then_some(&self.me);
        self.search.next_attempt(now, others, me).into_iter().cloned().collect()
    }

    /// Records whether the store has an entry of this process.
    pub(super) fn update_own_entry(&mut self) {
        let entry = self.members.get(&self.me.id.name);
        if entry.is_some_and(|member| member.id == self.me.id) {
            self.own_entry = OwnEntry::Listed;
        } else if self.own_entry == OwnEntry::Listed {
            self.own_entry = OwnEntry::Lost;
        }
    }
}
