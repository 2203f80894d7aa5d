//! Paths from one host to runners: direct, or through another host.
//!
//! A host may lose its links to runners that other hosts still reach. It then sends
//! requests through one of these. The choice is made for each attempt, below the
//! coordinator's decision: the runner, its slot and all limits stay as granted.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::{HostId, UpstreamName},
    time::MonoTime,
};

/// Number of runners that refuse connections from which on requests go through other
/// hosts. A single one has probably ended, and the coordinator avoids it.
const MIN_UNREACHABLE: usize = 2;

/// Interval of connection attempts to a runner that can't be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which a runner that no request was sent to is no longer probed.
const PROBE_TIME: Duration = Duration::from_secs(15);

/// Time for which a host that could not forward a request is not used.
const HOST_PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which no host is asked for a runner that another one can't reach either.
const NO_PATH_TIME: Duration = Duration::from_millis(2_000);

/// Time for which a response shows that the runners of an upstream can be reached.
const RECENT_RESPONSE: Duration = Duration::from_millis(1_000);

/// Hosts that are asked for one attempt.
const MAX_HOSTS_TRIED: usize = 8;

/// How to send a request to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerPath {
    /// Over an own connection. One that has been idle for longer than this time may be
    /// dead.
    Direct {
        /// None if all idle connections may be used.
        max_idle: Option<Duration>,
    },
    /// Through another host.
    ThroughHost,
}

/// A runner that refused a connection or did not accept it in time.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    since: MonoTime,
    next_probe: MonoTime,
    last_used: MonoTime,
    /// Until then no other host is asked either.
    no_path_until: MonoTime,
}

/// What one host knows of its paths to runners.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{RunnerPath, RunnerPaths},
///     time::MonoTime,
/// };
///
/// let upstream = "dala".parse().unwrap();
/// let [first, second] = ["10.0.0.1:80", "10.0.0.2:80"].map(|text| text.parse().unwrap());
/// let now = MonoTime::from_millis(1);
/// let mut paths = RunnerPaths::default();
/// paths.connect_failed(now, &upstream, first);
/// assert_ne!(paths.path(now, &upstream, first), RunnerPath::ThroughHost);
/// paths.connect_failed(now, &upstream, second);
/// assert_eq!(paths.path(now, &upstream, first), RunnerPath::ThroughHost);
/// paths.connected(now, &upstream, first);
/// assert_ne!(paths.path(now, &upstream, first), RunnerPath::ThroughHost);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunnerPaths {
    unreachable: BTreeMap<SocketAddr, Unreachable>,
    upstreams: BTreeMap<UpstreamName, BTreeSet<SocketAddr>>,
    /// When a runner of the upstream last accepted a connection or responded.
    responded_at: BTreeMap<UpstreamName, MonoTime>,
    /// Hosts that could not forward a request to an upstream, and until when they are not
    /// used for it.
    paused_hosts: BTreeMap<(UpstreamName, HostId), MonoTime>,
    /// The host that forwarded the last request to an upstream.
    last_hosts: BTreeMap<UpstreamName, HostId>,
    requests: usize,
}

impl RunnerPaths {
    /// Returns how to send a request to a runner now.
    pub fn path(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        runner: SocketAddr,
    ) -> RunnerPath {
        if let Some(known) = self.unreachable.get_mut(&runner) {
            known.last_used = now;
            if now < known.no_path_until {
                return RunnerPath::Direct { max_idle: Some(Duration::ZERO) };
            }
        }
        if self.unreachable.len() < MIN_UNREACHABLE {
            return RunnerPath::Direct { max_idle: None };
        }
        if self.unreachable.contains_key(&runner) {
            return RunnerPath::ThroughHost;
        }
        if self.is_cut_off_from(upstream) {
            // Probed like the others, so that the host notices if it is not cut off.
            self.connect_failed(now, upstream, runner);
            if let Some(known) = self.unreachable.get_mut(&runner) {
                known.next_probe = now;
            }
            return RunnerPath::ThroughHost;
        }
        let since = self.unreachable.values().map(|known| known.since).min();
        RunnerPath::Direct { max_idle: since.map(|since| now.since(since)) }
    }

    /// Returns true if this host knows that it can't connect to a runner.
    #[must_use]
    pub fn is_unreachable(&self, runner: SocketAddr) -> bool {
        self.unreachable.contains_key(&runner)
    }

    /// Returns true if this host seems to reach no runner of the upstream: several are
    /// unreachable and none has responded since the first of them failed, or the same holds
    /// for all upstreams together.
    #[must_use]
    pub fn is_cut_off_from(&self, upstream: &UpstreamName) -> bool {
        self.is_cut_off() || self.has_lost(upstream)
    }

    /// Returns true if a runner of the upstream has responded a moment ago.
    #[must_use]
    pub fn reaches(&self, now: MonoTime, upstream: &UpstreamName) -> bool {
        let responded_at = self.responded_at.get(upstream);
        responded_at.is_some_and(|at| now.since(*at) < RECENT_RESPONSE)
            && !self.is_cut_off_from(upstream)
    }

    fn has_lost(&self, upstream: &UpstreamName) -> bool {
        let Some(runners) = self.upstreams.get(upstream) else { return false };
        let failed = runners.iter().filter_map(|runner| self.unreachable.get(runner));
        let first = failed.clone().map(|known| known.since).min();
        let responded_at = self.responded_at.get(upstream).copied();
        failed.count() >= MIN_UNREACHABLE && responded_at < first
    }

    fn is_cut_off(&self) -> bool {
        let first = self.unreachable.values().map(|known| known.since).min();
        let responded_at = self.responded_at.values().max().copied();
        self.unreachable.len() >= MIN_UNREACHABLE && responded_at < first
    }

    /// Records that a runner refused a connection or did not accept it in time. Returns
    /// true if it was not known as unreachable.
    pub fn connect_failed(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        runner: SocketAddr,
    ) -> bool {
        let is_new = !self.unreachable.contains_key(&runner);
        let known = self.unreachable.entry(runner).or_insert(Unreachable {
            since: now,
            next_probe: now,
            last_used: now,
            no_path_until: MonoTime::ZERO,
        });
        known.next_probe = now + PROBE_INTERVAL;
        known.last_used = now;
        self.upstreams.entry(upstream.clone()).or_default().insert(runner);
        is_new
    }

    /// Records that a runner accepted a connection. Returns true if it was known as
    /// unreachable.
    pub fn connected(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        runner: SocketAddr,
    ) -> bool {
        self.responded(now, upstream);
        self.forget(runner)
    }

    /// Records a response over a connection to a runner of the upstream.
    pub fn responded(&mut self, now: MonoTime, upstream: &UpstreamName) {
        match self.responded_at.get_mut(upstream) {
            Some(at) => *at = now,
            None => drop(self.responded_at.insert(upstream.clone(), now)),
        }
    }

    /// Returns the runners to which a connection should be attempted now. Each is due
    /// again later, unless it is reported as connected.
    pub fn due_probes(&mut self, now: MonoTime) -> Vec<(UpstreamName, SocketAddr)> {
        let unused = |known: &Unreachable| now.since(known.last_used) > PROBE_TIME;
        let expired = self.unreachable.iter().filter(|(_, known)| unused(known));
        for runner in expired.map(|(runner, _)| *runner).collect::<Vec<_>>() {
            self.forget(runner);
        }
        let mut due = Vec::new();
        for (upstream, runners) in &self.upstreams {
            for runner in runners {
                let known = self.unreachable.get_mut(runner);
                if let Some(known) = known.filter(|known| known.next_probe <= now) {
                    known.next_probe = now + PROBE_INTERVAL;
                    due.push((upstream.clone(), *runner));
                }
            }
        }
        due
    }

    fn forget(&mut self, runner: SocketAddr) -> bool {
        let was_known = self.unreachable.remove(&runner).is_some();
        if was_known {
            for runners in self.upstreams.values_mut() {
                runners.remove(&runner);
            }
            self.upstreams.retain(|_, runners| !runners.is_empty());
        }
        was_known
    }

    /// Returns the host that a request should be sent through, of those in `hosts` that
    /// have not been `tried` for it. Prefers the host that forwarded the last request to
    /// the upstream.
    pub fn next_host<'a>(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        hosts: &'a [HostId],
        tried: &[HostId],
    ) -> Option<&'a HostId> {
        self.paused_hosts.retain(|_, until| now < *until);
        if tried.len() >= MAX_HOSTS_TRIED {
            return None;
        }
        let paused = self.paused_hosts.keys().filter(|(of, _)| of == upstream);
        let paused: BTreeSet<_> = paused.map(|(_, host)| host).collect();
        let is_usable = |host: &&HostId| !tried.contains(host) && !paused.contains(host);
        let last_host = self.last_hosts.get(upstream);
        let last = hosts.iter().filter(is_usable).find(|host| Some(*host) == last_host);
        let usable: Vec<_> = hosts.iter().filter(is_usable).collect();
        self.requests = self.requests.wrapping_add(1);
        last.or_else(|| usable.get(self.requests % usable.len().max(1)).copied())
    }

    /// Records that a host forwarded a request to a runner of the upstream.
    pub fn host_forwarded(&mut self, upstream: &UpstreamName, host: &HostId) {
        if self.last_hosts.get(upstream) != Some(host) {
            self.last_hosts.insert(upstream.clone(), host.clone());
        }
    }

    /// Records that a host forwards no requests to the upstream now: it is down, cut off
    /// too, busy or stopping.
    pub fn host_failed(&mut self, now: MonoTime, upstream: &UpstreamName, host: &HostId) {
        self.paused_hosts.insert((upstream.clone(), host.clone()), now + HOST_PAUSE);
        if self.last_hosts.get(upstream) == Some(host) {
            self.last_hosts.remove(upstream);
        }
    }

    /// Records that several hosts that reach other runners of the upstream can't connect to
    /// this one: it has probably ended.
    pub fn no_path(&mut self, now: MonoTime, runner: SocketAddr) {
        if let Some(known) = self.unreachable.get_mut(&runner) {
            known.no_path_until = now + NO_PATH_TIME;
        }
    }
}
