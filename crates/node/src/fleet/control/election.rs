//! Election of a coordinator among the hosts that this one knows.

use comfreyway_core::{
    fleet::{Member, elect},
    ids::HostId,
    time::MonoTime,
};

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
    pub(super) fn elect_coordinator(&self, now: MonoTime) -> Option<Member> {
        let suspected = |id: &HostId| self.suspects.get(id).is_some_and(|until| now < *until);
        let others = self.members.values().filter(|m| m.id.name != self.me.id.name);
        // A client of this host does not coordinate.
        let others = others.filter(|member| self.clients.get(&member.id).is_none());
        let others = others.filter(|member| !suspected(&member.id));
        let me = (!self.stopping && !suspected(&self.me.id)).then_some(&self.me);
        // The others don't know of a host without an entry and elect another one.
        let is_unknown = self.own_entry == OwnEntry::Lost && self.clients.is_empty();
        elect(others.chain(me.filter(|_| !is_unknown))).or(me).cloned()
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
