//! What runners say about themselves in their responses: it is applied at once on
//! the host that received the response, and sent to its coordinator.

use comfreyway_core::{fleet::RunnerNotice, ids::HostId, time::MonoTime};

use crate::{
    events::{Event, log_event},
    fleet::wire::{ToCoordinator, ToHost},
};

use super::FleetControl;

impl FleetControl {
    /// Handles a notice in a response to this host.
    pub(super) fn handle_own_notice(&mut self, now: MonoTime, notice: RunnerNotice) {
        self.metrics.runner_notice(&notice);
        let is_new = self.apply_notice(now, &notice);
        if let RunnerNotice::Rest(key, rest) = &notice {
            log_event!(
                Event::RunnerResting,
                runner:% = key.name,
                rest_ms = rest.as_millis() as u64
            );
        }
        if is_new {
            self.report_notice(now, notice);
        }
    }

    /// Reports a notice to this host's coordinators: the one in use, and its own,
    /// which it uses when that one fails.
    pub(super) fn report_notice(&mut self, now: MonoTime, notice: RunnerNotice) {
        if let RunnerNotice::Rest(key, rest) = &notice {
            let me = self.me.id.clone();
            self.coordinator.rest_runner(now, &me, &key.name, *rest);
        }
        match self.coordinator_client.coordinator().cloned() {
            Some(host) => self.send_to_coordinator(&host, ToCoordinator::RunnerNotice(notice)),
            None => self.forward_notice(&notice, None),
        }
    }

    /// Handles a notice in a response to a client host.
    pub(super) fn handle_client_notice(
        &mut self,
        now: MonoTime,
        host: &HostId,
        notice: &RunnerNotice,
    ) {
        if let RunnerNotice::Rest(key, rest) = notice {
            self.coordinator.rest_runner(now, host, &key.name, *rest);
        } else if self.apply_notice(now, notice) {
            self.forward_notice(notice, Some(host));
        }
    }

    /// Applies a notice to this host's own view of the runners. Returns true if it
    /// was not known yet.
    pub(super) fn apply_notice(&mut self, now: MonoTime, notice: &RunnerNotice) -> bool {
        let mut changes = Vec::new();
        let is_new = self.directory.apply_notice(now, notice, &mut changes);
        self.apply_runner_changes(changes);
        is_new
    }

    /// Forwards a notice to the client hosts, except to the one that sent it. A
    /// rest applies only to the host that was asked for it.
    fn forward_notice(&mut self, notice: &RunnerNotice, sender: Option<&HostId>) {
        if matches!(notice, RunnerNotice::Rest(..)) {
            return;
        }
        let hosts = self.clients.iter().map(|(host, _)| host);
        let hosts: Vec<_> = hosts.filter(|host| Some(*host) != sender).cloned().collect();
        for host in hosts {
            self.send_to_client(&host, &ToHost::RunnerNotice(notice.clone()));
        }
    }
}
