//! Hosts: their views of the store, their coordinators and what they copy.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Coordinator, CoordinatorClient, QuotaTolerance, RetryBudgetLimits, RunnerChange},
    ids::HostId,
};
use rand::{RngExt, rngs::StdRng};

use crate::support::{self, at, set_coordinator};

use super::{COPIES, Change, Fleet, HOSTS, Node, STEP_MS, VERIFY_INTERVAL_MS, config};

impl Fleet {
    pub(super) fn start(&mut self, host: usize) {
        let id = HostId { incarnation: self.now_ms, ..support::host(&format!("h{host}")) };
        let retries = RetryBudgetLimits { ratio: 1.0, slack: 1_000.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(retries, QuotaTolerance::default());
        coordinator.local_host_joined(at(self.now_ms), id.clone());
        self.nodes[host] = Some(Node {
            id,
            coordinator,
            client: CoordinatorClient::default(),
            uses: None,
            runners: BTreeMap::new(),
            read: usize::MAX,
            time_limit_ms: 0,
            cut_from_store: false,
            cut_from_hosts: false,
            views_paused_until_ms: 0,
        });
    }

    /// Reads the changes of the store, all entries at first, and verifies the view.
    pub(super) fn read_store(&mut self, host: usize) {
        let now = at(self.now_ms);
        let Some(node) = &mut self.nodes[host] else { return };
        if node.cut_from_store || self.now_ms < node.views_paused_until_ms {
            return;
        }
        if node.time_limit_ms != self.time_limit_ms {
            node.time_limit_ms = self.time_limit_ms;
            node.coordinator.set_config(now, config(self.time_limit_ms));
        }
        node.coordinator.set_recorded_retention(now, self.record.retention);
        let mut changes = Vec::new();
        if node.read == usize::MAX {
            node.read = self.changes.len();
            for (version, gone) in &self.record.versions {
                let since =
                    |ms: u64, earlier_ms| Duration::from_millis(ms.saturating_sub(earlier_ms));
                let gone_for = gone.map_or(Duration::ZERO, |(at_ms, _)| since(self.now_ms, at_ms));
                let time_left = gone.map(|(_, until_ms)| since(until_ms, self.now_ms));
                let (upstream, version) = ("dala".parse().unwrap(), version.clone());
                let coordinator = &mut node.coordinator;
                coordinator.version_reported(now, &upstream, version, gone_for, time_left);
            }
            changes.extend(self.runners.values().cloned().map(RunnerChange::Usable));
        }
        for change in &self.changes[node.read..] {
            changes.push(match change {
                Change::Put(entry) => RunnerChange::Usable(entry.clone()),
                Change::Delete(entry) => RunnerChange::Removed(entry.clone()),
            });
        }
        node.read = self.changes.len();
        for change in &changes {
            let entry = change.entry().clone();
            match change {
                RunnerChange::Removed(_) => node.runners.remove(&entry.key.name),
                _ => node.runners.insert(entry.key.name.clone(), entry),
            };
        }
        let mut replies = Vec::new();
        node.coordinator.apply_runner_changes(now, &changes, &mut replies);
        if (self.now_ms / STEP_MS + host as u64).is_multiple_of(VERIFY_INTERVAL_MS / STEP_MS) {
            node.coordinator.set_verified(now, now, &mut replies);
        }
        self.execute(host, Vec::new(), replies);
    }

    /// Lets hosts use the elected coordinator, or their own if they are cut off. A host
    /// notices a change after a random time.
    pub(super) fn elect(&mut self, rng: &mut StdRng) {
        let elected = self.elected();
        for host in 0..HOSTS {
            let Some(node) = &self.nodes[host] else { continue };
            let wanted = (host != elected && !node.cut_from_hosts).then_some(elected);
            let wanted = wanted.filter(|to| self.nodes[*to].is_some());
            let is_lost = node.uses.is_some_and(|to| {
                self.nodes[to].as_ref().is_none_or(|to| to.cut_from_hosts || to.uses.is_some())
            });
            if node.uses != wanted && (is_lost || rng.random_range(0..10) == 0) {
                let wanted = wanted
                    .filter(|to| self.nodes[*to].as_ref().is_some_and(|to| to.uses.is_none()));
                self.use_coordinator(host, wanted);
            }
        }
    }

    pub(super) fn use_coordinator(&mut self, host: usize, to: Option<usize>) {
        let now = at(self.now_ms);
        let to_id = to.and_then(|to| self.nodes[to].as_ref()).map(|node| node.id.clone());
        let Some(node) = &mut self.nodes[host] else { return };
        let former = std::mem::replace(&mut node.uses, to);
        let (id, records) =
            (node.id.clone(), node.coordinator.known_streams(now).collect::<Vec<_>>());
        let (mut actions, mut replies) = (Vec::new(), Vec::new());
        match to.and_then(|to| self.nodes[to].as_mut()) {
            Some(to) => {
                to.coordinator.host_joined(now, id.clone());
                to.coordinator.learn_streams(now, records, &mut replies);
            }
            None => {
                let Some(node) = &mut self.nodes[host] else { return };
                node.coordinator.local_host_joined(now, id.clone());
            }
        }
        if let Some(to) = to {
            self.execute(to, Vec::new(), std::mem::take(&mut replies));
        }
        let Some(node) = &mut self.nodes[host] else { return };
        set_coordinator(&mut node.client, now, to_id, &mut actions);
        self.execute(host, actions, Vec::new());
        if let Some(former) = former.or(Some(host)).filter(|former| Some(*former) != to) {
            self.leave_coordinator(former, &id);
        }
    }

    pub(super) fn leave(&mut self, host: usize, from: usize) {
        let id = support::host(&format!("h{host}"));
        for to in (0..HOSTS).filter(|to| *to != from) {
            let Some(node) = &mut self.nodes[to] else { continue };
            let left = node.coordinator.clients().find(|client| client.name == id.name).cloned();
            if let Some(left) = left {
                self.leave_coordinator(to, &left);
            }
        }
    }

    pub(super) fn leave_coordinator(&mut self, to: usize, id: &HostId) {
        let Some(node) = &mut self.nodes[to] else { return };
        let mut replies = Vec::new();
        node.coordinator.host_left(at(self.now_ms), id, &mut replies);
        self.execute(to, Vec::new(), replies);
    }

    /// Each coordinator that reaches the store keeps the record of versions there.
    pub(super) fn write_record(&mut self) {
        let now_ms = self.now_ms;
        for node in self.nodes.iter().flatten() {
            if node.uses.is_some() || node.cut_from_store {
                continue;
            }
            self.record.retention = node.coordinator.retention_to_record(at(now_ms));
            for (_, history) in node.coordinator.version_histories() {
                if !history.is_mixed(at(now_ms)) {
                    continue;
                }
                for (version, gone) in history.versions(at(now_ms)) {
                    let gone = gone.map(|gone| {
                        let ms = |duration: Duration| duration.as_millis() as u64;
                        (now_ms - ms(gone.gone_for), now_ms + ms(gone.time_left))
                    });
                    self.record.versions.insert(version.cloned(), gone);
                }
            }
        }
    }

    /// Copies new records to a few client hosts.
    pub(super) fn copy_streams(&mut self) {
        let now = at(self.now_ms);
        for host in 0..HOSTS {
            let Some(node) = &mut self.nodes[host] else { continue };
            let new = node.coordinator.take_new_streams();
            let clients = (0..HOSTS).filter(|client| {
                self.nodes[*client].as_ref().is_some_and(|node| node.uses == Some(host))
            });
            for client in clients.take(COPIES).collect::<Vec<_>>() {
                let mut replies = Vec::new();
                if let Some(node) = &mut self.nodes[client] {
                    node.coordinator.learn_streams(now, new.clone(), &mut replies);
                }
                self.execute(client, Vec::new(), replies);
            }
        }
    }

    pub(super) fn tick(&mut self) {
        for host in 0..HOSTS {
            let mut replies = Vec::new();
            if let Some(node) = &mut self.nodes[host] {
                node.coordinator.tick(at(self.now_ms), &mut replies);
                node.coordinator.expire_versions(at(self.now_ms));
            }
            self.execute(host, Vec::new(), replies);
        }
    }
}
