//! Hosts and runners as machines that freeze, end, and lose power.

use std::{net::SocketAddr, thread, time::Duration};

use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal},
    proxy::FaultProxy,
    runner_process::{RunnerOptions, RunnerProcess},
};
use rand::{RngExt, rngs::StdRng};
use serde_json::json;

use crate::{
    fleet::{
        harness::{FleetHarness, runner_entry},
        restart_soak::TakenPort,
    },
    support::Daemon,
};

/// Time between two looks at a process that was killed.
const KILL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Slots that a runner names in the store. Most have fewer and reject the rest.
const NAMED_SLOTS: usize = 6;

/// A runner and the link to it.
pub(super) struct RunnerMachine {
    pub(super) process: RunnerProcess,
    pub(super) link: Option<FaultProxy>,
    pub(super) frozen: bool,
    number: usize,
    names: usize,
}

impl RunnerMachine {
    pub(super) fn start(number: usize, options: RunnerOptions, linked: bool) -> Self {
        let process = RunnerProcess::start(&format!("r{number}-0"), options).unwrap();
        let link = linked.then(|| FaultProxy::start(process.address()).unwrap());
        Self { process, link, frozen: false, number, names: 1 }
    }

    /// Writes its entry to the store.
    pub(super) fn register(&self, fleet: &FleetHarness) {
        let own = self.process.address();
        let address = self.link.as_ref().map_or(own, FaultProxy::address);
        let mut entry = runner_entry(address, "survey", "ready");
        entry["slots"] = json!(NAMED_SLOTS);
        fleet.store.put(&format!("servers/{}", self.process.name()), entry.to_string().as_bytes());
    }

    /// Starts it again, under a new name or under its own. Returns the former name if it is
    /// a new one.
    pub(super) fn restart(&mut self, renamed: bool, fleet: &FleetHarness) -> Option<String> {
        let former = self.process.name().to_owned();
        self.names += usize::from(renamed);
        let name =
            if renamed { format!("r{}-{}", self.number, self.names) } else { former.clone() };
        self.process.restart(&name).unwrap();
        self.frozen = false;
        self.register(fleet);
        renamed.then_some(former)
    }

    pub(super) fn set_frozen(&mut self, frozen: bool) {
        let signal = if frozen { Signal::Stop } else { Signal::Continue };
        if !self.process.has_exited() {
            self.process.signal(signal).unwrap();
        }
        self.frozen = frozen;
    }
}

/// A host, with the links to its callers and to the store.
pub(super) struct HostMachine {
    settings: DaemonSettings,
    daemon: Option<Daemon>,
    pub(super) links: Vec<FaultProxy>,
    pub(super) frozen: bool,
    stopping: bool,
    /// Logs of the processes that ended.
    logs: String,
}

impl HostMachine {
    pub(super) fn start(number: usize, fleet: &FleetHarness, linked: bool) -> Self {
        let mut settings = fleet.settings(&format!("h{number}"));
        let mut links = Vec::new();
        if linked {
            let store = FaultProxy::start(fleet.store.address()).unwrap();
            let linked = DaemonSettings::with_fleet_store(&settings.name, store.address());
            settings = linked.unwrap().with_workers(1).with_fleet("region", "almaty");
            links = vec![FaultProxy::start(settings.callers).unwrap(), store];
        }
        let daemon = Some(Daemon::start(settings.clone()));
        Self { settings, daemon, links, frozen: false, stopping: false, logs: String::new() }
    }

    /// Address for its callers.
    pub(super) fn address(&self) -> SocketAddr {
        self.links.first().map_or(self.settings.callers, FaultProxy::address)
    }

    /// The process, unless it has ended. A process ID may be reused after that.
    fn running(&mut self) -> Option<&Daemon> {
        let running = self.daemon.as_mut()?;
        (!running.has_exited()).then_some(&*running)
    }

    fn signal(&mut self, signal: Signal) {
        if let Some(daemon) = self.running() {
            daemon.signal(signal).unwrap();
        }
    }

    pub(super) fn kill(&mut self) {
        self.signal(Signal::Kill);
        while self.running().is_some() {
            thread::sleep(KILL_POLL_INTERVAL);
        }
        self.take_log();
        self.frozen = false;
    }

    /// Takes one of its ports, at times, while it is down.
    pub(super) fn take_port(&self, rng: &mut StdRng) -> Option<TakenPort> {
        let DaemonSettings { callers, peers, operators, forward, .. } = &self.settings;
        let port = [callers, peers, operators, forward][rng.random_range(0..4)];
        let (taken, by_connection) = (rng.random_bool(0.3), rng.random_bool(0.5));
        taken.then(|| TakenPort::take(*port, by_connection)).flatten()
    }

    pub(super) fn start_again(&mut self) {
        if self.daemon.is_none() {
            self.daemon = Some(Daemon::start(self.settings.clone()));
        }
    }

    /// Begins a planned stop.
    pub(super) fn stop(&mut self) {
        self.signal(Signal::Terminate);
        self.stopping = true;
    }

    /// Starts it again once its planned stop is over. Nothing starts one that ends by itself.
    pub(super) fn start_stopped(&mut self) {
        if self.stopping && self.running().is_none() {
            self.take_log();
            self.start_again();
        }
    }

    fn take_log(&mut self) {
        self.logs += &self.daemon.take().map(|daemon| daemon.log()).unwrap_or_default();
        self.stopping = false;
    }

    pub(super) fn set_frozen(&mut self, frozen: bool) {
        self.signal(if frozen { Signal::Stop } else { Signal::Continue });
        self.frozen = frozen;
    }

    /// Lines of its logs that name a request.
    pub(super) fn lines_of(&self, id: &str) -> Vec<String> {
        let current = self.daemon.as_ref().map(|daemon| daemon.log()).unwrap_or_default();
        let lines = self.logs.lines().chain(current.lines());
        let named = |line: &&str| {
            line.split(|c: char| !c.is_ascii_alphanumeric() && c != '-').any(|word| word == id)
        };
        lines.filter(named).map(|line| format!("{}: {line}", self.settings.name)).collect()
    }
}

/// Draws how long something lasts.
pub(super) fn draw_ms(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
