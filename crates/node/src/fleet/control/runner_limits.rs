//! Rate limits and loads that runners name in their responses.
//!
//! The coordinator decides what holds: a client host reports the responses that say
//! something new, and is told what changed. So all hosts know the limits when they lose
//! their coordinator.

use comfreyway_core::{
    fleet::{LimitReport, RunnerKey, RunnerLoad},
    ids::{HostId, RunnerName},
    time::MonoTime,
};

use crate::{
    events::{Event, log_event},
    fleet::wire::{PROTOCOL_LIMITS, PROTOCOL_LOADS, RunnerLimit, ToCoordinator, ToHost},
};

use super::FleetControl;

impl FleetControl {
    /// Handles what a response to this host says of its runner's rate limit.
    pub(super) fn handle_own_limit(&mut self, now: MonoTime, report: LimitReport) {
        let coordinator = self.coordinator_client.coordinator().cloned();
        match coordinator.filter(|_| self.coordinator_protocol() >= PROTOCOL_LIMITS) {
            None => self.apply_limit(now, &report),
            Some(host) => {
                let is_known = self.coordinator.limits().of(&report.key).is_some();
                if report.per_s.is_some() || is_known {
                    self.send_to_coordinator(&host, ToCoordinator::Limit(report));
                }
            }
        }
    }

    /// Handles what a response to this host says of its runner's load.
    pub(super) fn handle_own_load(&mut self, now: MonoTime, runner: RunnerName, load: RunnerLoad) {
        let protocol = self.coordinator_protocol();
        match self.coordinator_client.coordinator().cloned() {
            None => self.coordinator.set_runner_load(now, &runner, load),
            Some(host) if protocol >= PROTOCOL_LOADS => {
                self.send_to_coordinator(&host, ToCoordinator::Load(runner, load));
            }
            Some(_) => {}
        }
    }

    /// Applies what a response said, and tells the client hosts if it changes a limit.
    pub(super) fn apply_limit(&mut self, now: MonoTime, report: &LimitReport) {
        if !self.coordinator.apply_limit(now, report) {
            return;
        }
        self.limit_changed(&report.key);
        let per_s = self.coordinator.limits().of(&report.key).map(|limit| limit.per_s);
        let limit = RunnerLimit { key: report.key.clone(), per_s };
        let hosts: Vec<_> = self.clients.iter().map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_limits(&host, vec![limit.clone()]);
        }
    }

    /// Applies what the coordinator says of runners' limits.
    pub(super) fn set_limits(&mut self, limits: Vec<RunnerLimit>) {
        let now = self.now();
        for RunnerLimit { key, per_s } in limits {
            if self.coordinator.set_limit(now, &key, per_s) {
                self.limit_changed(&key);
            }
        }
    }

    /// Sends the next coordinator all limits that this host knows.
    pub(super) fn report_limits(&mut self, host: &HostId) {
        if self.coordinator_protocol() < PROTOCOL_LIMITS {
            return;
        }
        let now = self.now();
        let reports = self.coordinator.limits().iter().map(|limit| LimitReport {
            key: limit.key.clone(),
            per_s: Some(limit.per_s),
            sent_ago: now.since(limit.heard_at),
        });
        for report in reports.collect::<Vec<_>>() {
            self.send_to_coordinator(host, ToCoordinator::Limit(report));
        }
    }

    /// Sends a client host all limits.
    pub(super) fn send_known_limits(&mut self, host: &HostId) {
        let limits = self.coordinator.limits().iter();
        let limits = limits.map(|l| RunnerLimit { key: l.key.clone(), per_s: Some(l.per_s) });
        self.send_limits(host, limits.collect());
    }

    /// Forgets the limits of runs that are gone.
    pub(super) fn expire_limits(&mut self) {
        self.coordinator.expire_limits(self.now());
        self.update_limited_runners();
    }

    fn send_limits(&mut self, host: &HostId, limits: Vec<RunnerLimit>) {
        let client = self.clients.get(host);
        let is_able = client.is_some_and(|client| client.protocol >= PROTOCOL_LIMITS);
        if is_able && !limits.is_empty() {
            self.send_to_client(host, &ToHost::Limits(limits));
        }
    }

    fn update_limited_runners(&self) {
        let any = self.coordinator.limits().iter().next().is_some();
        self.host_state.set_limited_runners(any);
    }

    fn limit_changed(&mut self, key: &RunnerKey) {
        self.update_limited_runners();
        match self.coordinator.limits().of(key) {
            Some(limit) => {
                log_event!(Event::RunnerLimited, runner:% = key.name, per_s = limit.per_s);
            }
            None => log_event!(Event::RunnerLimitLifted, runner:% = key.name),
        }
    }
}
