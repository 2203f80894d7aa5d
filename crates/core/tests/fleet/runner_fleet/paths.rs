//! Paths from hosts to runners, direct and through other hosts.

use std::net::SocketAddr;

use comfreyway_core::{
    fleet::RunnerPath,
    ids::{HostId, RequestId, RunnerName, UpstreamName},
    outcome::RetryReason,
};

use crate::support::at;

use super::{CONNECT_MS, Fleet};

/// A connection that hangs until it times out.
pub(super) struct Connecting {
    until_ms: u64,
    host: usize,
    id: RequestId,
    runner: RunnerName,
}

/// What becomes of a request that is sent.
pub(super) enum Way {
    /// It reaches the runner.
    Reaches,
    /// Its connection hangs.
    Hangs,
    /// No connection can be opened.
    Fails,
}

impl Fleet {
    /// Finds a way to a runner, as a host does.
    pub(super) fn find_way(&mut self, host: usize, id: RequestId, runner: &RunnerName) -> Way {
        let Some((upstream, address)) = self.address_of(runner) else { return Way::Fails };
        let path = self.nodes[host].paths.path(at(self.now_ms), &upstream, address);
        if path == RunnerPath::ThroughHost
            && let Some(way) = self.find_way_through_host(host, runner)
        {
            return way;
        }
        match self.cut_from_runners.get(&host) {
            Some(cut) if cut.hangs => {
                let until_ms = self.now_ms + CONNECT_MS;
                self.connecting.push(Connecting { until_ms, host, id, runner: runner.clone() });
                Way::Hangs
            }
            None if self.is_up(runner) => {
                let now = at(self.now_ms);
                self.nodes[host].paths.connected(now, &upstream, address);
                Way::Reaches
            }
            _ => self.find_way_after_failure(host, runner),
        }
    }

    /// Records a failed connection, after which other hosts may be asked.
    fn find_way_after_failure(&mut self, host: usize, runner: &RunnerName) -> Way {
        let Some((upstream, address)) = self.address_of(runner) else { return Way::Fails };
        let (now, paths) = (at(self.now_ms), &mut self.nodes[host].paths);
        paths.connect_failed(now, &upstream, address);
        match paths.path(now, &upstream, address) {
            RunnerPath::ThroughHost => {
                self.find_way_through_host(host, runner).unwrap_or(Way::Fails)
            }
            RunnerPath::Direct { .. } => Way::Fails,
        }
    }

    /// Asks other hosts; none if no host forwards requests.
    fn find_way_through_host(&mut self, host: usize, runner: &RunnerName) -> Option<Way> {
        let (upstream, address) = self.address_of(runner)?;
        let mut unreachable = 0;
        let others = (0..self.nodes.len()).filter(|other| *other != host);
        let ids: Vec<HostId> = others.map(|other| self.nodes[other].id.clone()).collect();
        let mut tried = Vec::new();
        let now = at(self.now_ms);
        while let Some(next) =
            self.nodes[host].paths.next_host(now, &upstream, &ids, &tried).cloned()
        {
            let other = self.nodes.iter().position(|node| node.id == next).unwrap();
            let is_cut_off = self.nodes[other].paths.is_cut_off_from(&upstream);
            if !self.cut_from_runners.contains_key(&other) && !is_cut_off {
                if self.is_up(runner) {
                    self.nodes[host].paths.host_forwarded(&upstream, &next);
                    return Some(Way::Reaches);
                }
                unreachable += 1;
                if unreachable == 2 {
                    self.nodes[host].paths.no_path(now, address);
                    return Some(Way::Fails);
                }
                tried.push(next);
                continue;
            }
            self.nodes[host].paths.host_failed(now, &upstream, &next);
            tried.push(next);
        }
        None
    }

    /// Ends the connections that have timed out.
    pub(super) fn end_connecting(&mut self) {
        let now_ms = self.now_ms;
        let due = self.connecting.extract_if(.., |connecting| connecting.until_ms <= now_ms);
        for Connecting { host, id, runner, .. } in due.collect::<Vec<_>>() {
            let mut actions = Vec::new();
            match self.find_way_after_failure(host, &runner) {
                Way::Reaches => self.run(host, id, &runner, &mut actions),
                Way::Hangs | Way::Fails => {
                    let reason = RetryReason::ConnectTimeout;
                    self.nodes[host].client.requeue(id, reason, &mut actions);
                }
            }
            self.execute(host, actions, Vec::new());
        }
    }

    /// Connects to the runners that hosts could not reach.
    pub(super) fn probe_runners(&mut self) {
        let now = at(self.now_ms);
        for host in 0..self.nodes.len() {
            for (upstream, address) in self.nodes[host].paths.due_probes(now) {
                let mut runners = self.runners.values();
                let is_up = runners
                    .any(|runner| runner.entry.address == address && runner.crashed_ms.is_none());
                if is_up && !self.cut_from_runners.contains_key(&host) {
                    self.nodes[host].paths.connected(now, &upstream, address);
                }
            }
        }
    }

    fn is_up(&self, runner: &RunnerName) -> bool {
        self.runners.get(runner).is_some_and(|runner| runner.crashed_ms.is_none())
    }

    fn address_of(&self, runner: &RunnerName) -> Option<(UpstreamName, SocketAddr)> {
        let entry = &self.runners.get(runner)?.entry;
        Some((entry.upstream.clone(), entry.address))
    }
}
