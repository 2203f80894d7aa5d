//! Registered hosts that have no session with this coordinator.
//!
//! The lease of a host that is down expires after seconds. Its share of the runners'
//! slots is used before that by the hosts that are left.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{fleet::ShareBasis, ids::HostId, time::MonoTime};

use crate::events::{Event, log_event};

use super::FleetControl;

/// Time without a session after which a host counts as absent: several attempts to
/// connect to a coordinator.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Since when registered hosts have had no session.
#[derive(Debug, Default)]
pub(super) struct AbsentHosts(BTreeMap<HostId, MonoTime>);

impl AbsentHosts {
    /// Records the hosts without a session. Returns how many of them are absent.
    fn update<'a, I>(&mut self, now: MonoTime, without_session: I) -> usize
    where
        I: Iterator<Item = &'a HostId>,
    {
        let before = std::mem::take(&mut self.0);
        let since = |host: &HostId| before.get(host).copied().unwrap_or(now);
        self.0 = without_session.map(|host| (host.clone(), since(host))).collect();
        self.0.values().filter(|since| now.since(**since) >= ABSENCE_TIMEOUT).count()
    }
}

impl FleetControl {
    /// Updates the number of hosts among which the runners' slots are shared. If most
    /// hosts are absent, they may have another coordinator.
    pub(super) fn update_absent_hosts(&mut self, now: MonoTime) {
        let ids = self.members.values().map(|member| &member.id);
        let others = ids.filter(|id| id.name != self.me.id.name);
        let without_session = others.filter(|id| self.clients.get(id).is_none());
        let absent = self.absent_hosts.update(now, without_session);
        let few = 2 * absent < self.members.len();
        self.coordinator.set_down_hosts(now, if few { absent } else { 0 });
    }

    /// Logs the share of the fleet that this host's coordinator uses, if it changed.
    pub(super) fn log_share(&mut self) {
        let share = self.coordinator.share_basis();
        if self.coordinator_client.coordinator().is_none() && share != self.logged_share {
            let ShareBasis { clients, known, absent } = share;
            log_event!(Event::ShareChanged, clients = clients, known = known, absent = absent);
            self.logged_share = share;
        }
    }
}
