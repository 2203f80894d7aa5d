//! Faults of runners and hosts, and what hosts tell each other.

use std::collections::{BTreeMap, BTreeSet};

use comfreyway_core::{
    fleet::{LimitReport, RecordSource, RunnerChange, SuspectRecord},
    request::DispatchEnd,
};
use rand::RngExt;

use crate::support::{at, set_coordinator};

use super::{Faults, Fleet, HOSTS, RunnerCut, SHARE_INTERVAL_MS, new_node};

impl Fleet {
    pub(super) fn inject_faults(&mut self) {
        if self.faults == Faults::None {
            return;
        }
        if self.faults == Faults::RunnerCuts {
            self.cut_hosts_from_runners();
            return;
        }
        if self.faults == Faults::Cuts && self.rng.random_range(0..150) == 0 {
            let host = self.rng.random_range(0..HOSTS);
            match self.cut.remove(&host) {
                true => self.join(host),
                false if host != self.leader => self.cut_off(host),
                false => {}
            }
        }
        let up = self.runners.values().filter(|runner| runner.crashed_ms.is_none());
        let up: Vec<_> = up.map(|runner| runner.entry.key.name.clone()).collect();
        if !up.is_empty() && self.rng.random_range(0..400) == 0 {
            // Single runners, or several at once.
            for _ in 0..[1, 1, 3][self.rng.random_range(0..3)] {
                let name = &up[self.rng.random_range(0..up.len())];
                if self.runners[name].crashed_ms.is_none() {
                    self.crash(name);
                }
            }
        }
        if !up.is_empty() && self.rng.random_range(0..100) == 0 {
            let name = &up[self.rng.random_range(0..up.len())];
            let broken = self.runners.get_mut(name).unwrap().runs.pop();
            if let Some(run) = broken {
                self.end(run.host, run.id, DispatchEnd::Failed);
            }
        }
        let kills = matches!(self.faults, Faults::Hosts | Faults::Cuts);
        self.kill_often();
        if kills && self.rng.random_range(0..250) == 0 {
            let host = self.rng.random_range(0..HOSTS);
            let host = if self.rng.random_bool(0.5) { self.leader } else { host };
            self.kill(host);
        }
    }

    /// Cuts hosts off from all runners for some seconds.
    fn cut_hosts_from_runners(&mut self) {
        let now_ms = self.now_ms;
        self.cut_from_runners.retain(|_, cut| now_ms < cut.until_ms);
        self.end_connecting();
        if self.rng.random_range(0..200) != 0 || self.cut_from_runners.len() >= HOSTS / 2 {
            return;
        }
        let host = self.rng.random_range(0..HOSTS);
        if self.cut_from_runners.contains_key(&host) {
            return;
        }
        let until_ms = now_ms + self.rng.random_range(5_000..12_000);
        let hangs = self.rng.random_bool(0.5);
        self.cut_from_runners.insert(host, RunnerCut { from_ms: now_ms, until_ms, hangs });
        // What the cut itself ends is counted with neither.
        let requests = self.requests.values_mut().filter(|request| request.host == host);
        for request in requests {
            match request.at_cut.take() {
                Some(true) => self.counts.at_cut -= 1,
                Some(false) => self.counts.at_others -= 1,
                None => {}
            }
        }
        let runners = self.runners.values_mut();
        let lost = runners.flat_map(|r| r.runs.extract_if(.., |run| run.host == host));
        for run in lost.collect::<Vec<_>>() {
            self.end(host, run.id, DispatchEnd::Failed);
        }
    }

    /// Kills a host, which starts again at once and has read the store.
    pub(super) fn kill(&mut self, host: usize) {
        for runner in self.runners.values_mut() {
            runner.runs.retain(|run| run.host != host);
        }
        self.requests.retain(|_, request| request.host != host);
        let quarantine = self.nodes[self.leader].coordinator.quarantine();
        let stored: Vec<_> = quarantine.quarantined().map(|(p, runs)| (p, runs.to_vec())).collect();
        let mut node = new_node(host, self.now_ms, self.retry_limits);
        let (now, mut out) = (at(self.now_ms), Vec::new());
        let known = self.runners.values().filter(|runner| !runner.removed);
        let changes: Vec<_> = known.map(|r| RunnerChange::Usable(r.entry.clone())).collect();
        node.coordinator.apply_runner_changes(now, &changes, &mut out);
        for (part, runs) in stored {
            node.coordinator.set_quarantined(now, part, runs, &mut out);
        }
        let killed = std::mem::replace(&mut self.nodes[host], node).id;
        self.cut.remove(&host);
        if host == self.leader {
            let next = (1..HOSTS).map(|n| (host + n) % HOSTS);
            let next = next.clone().find(|next| !self.cut.contains(next)).unwrap_or(host);
            self.elect(next);
            if next != host {
                self.join(host);
            }
        } else {
            let mut replies = Vec::new();
            self.nodes[self.leader].coordinator.host_left(now, &killed, &mut replies);
            self.execute(self.leader, Vec::new(), replies);
            self.join(host);
        }
    }

    /// Lets a host use its own coordinator.
    fn cut_off(&mut self, host: usize) {
        self.cut.insert(host);
        let (now, id) = (at(self.now_ms), self.nodes[host].id.clone());
        self.nodes[host].coordinator.local_host_joined(now, id.clone());
        let mut actions = Vec::new();
        set_coordinator(&mut self.nodes[host].client, now, None, &mut actions);
        self.execute(host, actions, Vec::new());
        let mut replies = Vec::new();
        self.nodes[self.leader].coordinator.host_left(now, &id, &mut replies);
        self.execute(self.leader, Vec::new(), replies);
    }

    /// Tells a host's coordinator what a response said of its runner's limit.
    pub(super) fn report_limit(&mut self, host: usize, report: &LimitReport) {
        let by = if self.cut.contains(&host) { host } else { self.leader };
        let now = at(self.now_ms);
        if !self.nodes[by].coordinator.apply_limit(now, report) || by != self.leader {
            return;
        }
        let limit = self.nodes[by].coordinator.limits().of(&report.key).map(|limit| limit.per_s);
        for other in (0..HOSTS).filter(|other| *other != by && !self.cut.contains(other)) {
            self.nodes[other].coordinator.set_limit(now, &report.key, limit);
        }
    }

    /// Lets a runner name a limit, or none any more.
    pub(crate) fn set_limit(&mut self, pick: usize, per_s: Option<f64>) {
        let pick = pick % self.runners.len();
        let runner = self.runners.values_mut().nth(pick).unwrap();
        runner.limit = per_s.map(|per_s| (per_s, self.now_ms));
        runner.arrivals.clear();
    }

    /// The limits of running runners, since when they are named, and the arrivals since.
    pub(crate) fn limited(&self) -> Vec<(f64, u64, &[u64])> {
        let runners = self.runners.values().filter(|runner| runner.crashed_ms.is_none());
        let limited =
            runners.filter_map(|r| r.limit.map(|(per_s, at)| (per_s, at, &r.arrivals[..])));
        limited.collect()
    }

    pub(super) fn elect(&mut self, leader: usize) {
        self.leader = leader;
        self.cut.remove(&leader);
        let mut actions = Vec::new();
        set_coordinator(&mut self.nodes[leader].client, at(self.now_ms), None, &mut actions);
        self.execute(leader, actions, Vec::new());
        let clients = (0..HOSTS).filter(|host| *host != leader && !self.cut.contains(host));
        clients.collect::<Vec<_>>().into_iter().for_each(|host| self.join(host));
    }

    /// Lets a host use the coordinator, which it tells all that it knows.
    fn join(&mut self, host: usize) {
        let now = at(self.now_ms);
        let id = self.nodes[host].id.clone();
        let quarantine = self.nodes[host].coordinator.quarantine();
        let records: Vec<_> = quarantine.known_suspects().map(|p| quarantine.record(p)).collect();
        let limits = self.nodes[host].coordinator.limits().iter().map(|limit| LimitReport {
            key: limit.key.clone(),
            per_s: Some(limit.per_s),
            sent_ago: now.since(limit.heard_at),
        });
        let limits: Vec<_> = limits.collect();
        let (mut replies, mut actions) = (Vec::new(), Vec::new());
        let leader = &mut self.nodes[self.leader];
        leader.coordinator.host_joined(now, id.clone());
        leader.coordinator.learn_suspects(now, records, RecordSource::Client, &mut replies);
        for limit in &limits {
            leader.coordinator.apply_limit(now, limit);
        }
        let leader_id = leader.id.clone();
        self.execute(self.leader, Vec::new(), replies);
        set_coordinator(&mut self.nodes[host].client, now, Some(leader_id), &mut actions);
        self.execute(host, actions, Vec::new());
        let mut replies = Vec::new();
        self.nodes[host].coordinator.host_left(now, &id, &mut replies);
        self.execute(host, Vec::new(), replies);
    }

    /// Shares what each coordinator suspects through the store.
    fn share_through_store(&mut self) {
        for by in self.cut.iter().copied().chain([self.leader]).collect::<Vec<_>>() {
            let quarantine = self.nodes[by].coordinator.quarantine();
            let stored = self.suspects.keys().copied();
            let known: BTreeSet<_> = quarantine.known_suspects().chain(stored).collect();
            let records = known.into_iter().map(|suspect| quarantine.record(suspect));
            let is_news = |record: &SuspectRecord| {
                !record.quarantined && record.adds_to(self.suspects.get(&record.suspect))
            };
            let records: Vec<_> = records.filter(is_news).collect();
            for record in &records {
                self.suspects.insert(record.suspect, record.clone());
            }
            for host in 0..HOSTS {
                let (coordinator, mut replies) = (&mut self.nodes[host].coordinator, Vec::new());
                let (now, source) = (at(self.now_ms), RecordSource::Store);
                coordinator.learn_suspects(now, records.clone(), source, &mut replies);
                self.execute(host, Vec::new(), replies);
            }
        }
    }

    pub(super) fn share_suspects(&mut self) {
        // All hosts read the store, those that are cut off from the others too, and write
        // now and then.
        if self.faults == Faults::Cuts && self.now_ms.is_multiple_of(2 * SHARE_INTERVAL_MS) {
            self.share_through_store();
        }
        let quarantines = self.nodes.iter().flat_map(|node| {
            node.coordinator.quarantine().quarantined().map(|(part, runs)| (part, runs.to_vec()))
        });
        for (part, runs) in quarantines.collect::<BTreeMap<_, _>>() {
            for host in 0..HOSTS {
                let (coordinator, mut replies) = (&mut self.nodes[host].coordinator, Vec::new());
                coordinator.set_quarantined(at(self.now_ms), part, runs.clone(), &mut replies);
                self.execute(host, Vec::new(), replies);
            }
        }
        let updates = self.nodes[self.leader].coordinator.take_suspect_updates();
        for host in (0..HOSTS)
            .filter(|host| *host != self.leader && !self.cut.contains(host))
            .collect::<Vec<_>>()
        {
            let mut replies = Vec::new();
            let coordinator = &mut self.nodes[host].coordinator;
            let source = RecordSource::Coordinator;
            coordinator.learn_suspects(at(self.now_ms), updates.clone(), source, &mut replies);
            coordinator.take_suspect_updates();
            self.execute(host, Vec::new(), replies);
        }
    }
}
