//! Random overlapping faults, generated from a seed, on real processes under
//! load. A request that may run at most once never runs twice and has not run if
//! it is reported as not run; a success is a runner's whole response to that request;
//! a stream stays at one software version, also if its caller takes it up again; no
//! workspace exceeds its quota; afterwards all hosts serve. Meanwhile runners crash under
//! one part of prompts and under one request that is repeated, which must not keep the
//! others from being served, and name limits.
//!
//! CI runs a few short seeds. To run fifty seeds, and some with many hosts, by hand:
//!
//! ```text
//! cargo test --test testsuite soak -- --ignored
//! ```

mod callers;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal, eventually},
    fleet_runner::{FleetRunner, RunnerMode, RunnerRun},
    proxy::FaultProxy,
    store::{StoreFaults, StoreOutage, StoreStandIn},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::Daemon;

use self::callers::{CallBody, CallResult, CallerKind, Connection, start_caller};

use super::harness::{DESK_KEY, runner_entry};

const HOSTS: usize = 3;
/// Hosts of the runs with many processes.
const MANY_HOSTS: usize = 60;
/// Short, so that entries expire between the faults.
const HOST_LEASE: &str = "1s";
const RUNNERS: usize = 3;
/// Software version of each runner of the engine.
const VERSIONS: [&str; RUNNERS] = ["v1", "v2", "v1"];
const CALLERS: usize = 6;
const BULK_CALLERS: usize = 8;
const EVENTS: u64 = 6;
/// Paths with the upstream that serves them.
const PATHS: [(&str, &str); 5] = [
    ("/lookup/count/", "survey"),
    ("/tags/", "dala"),
    ("/report/", "dala"),
    ("/lookup/", "survey"),
    ("/open/", "survey"),
];
/// Paths whose requests may run at most once.
const AT_MOST_ONCE_PATHS: [&str; 2] = ["/lookup/count/", "/tags/"];
/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

const DESK: CallerKind = CallerKind {
    name: "desk",
    key: DESK_KEY,
    paths: &["/lookup/count/", "/tags/", "/report/", "/lookup/", "/open/"],
    parts: "a1:60,5e:200,1:90",
    body: CallBody::Same(""),
    pause: Duration::from_millis(15),
    // Longer than any time limit of the configuration.
    timeout: Duration::from_secs(12),
};
/// Callers of a workspace that always sends more than its quota.
const BULK: CallerKind = CallerKind {
    name: "bulk",
    key: "key-of-bulk",
    paths: &["/lookup/count/"],
    parts: "a1:60,1:90",
    body: CallBody::Same(""),
    pause: Duration::from_millis(1),
    timeout: Duration::from_millis(500),
};
/// Callers whose prompts crash runners.
const CRASHING: CallerKind = CallerKind {
    name: "crashing",
    key: DESK_KEY,
    paths: &["/report/"],
    parts: "a1:60,bad0:200,1:90",
    body: CallBody::Own,
    pause: Duration::from_millis(100),
    timeout: Duration::from_secs(12),
};
/// The part of these prompts that does it.
const CRASHING_PART: &str = "bad0";
const CRASHING_CALLERS: usize = 2;
/// A caller that repeats a request which crashes runners.
const REPEATING: CallerKind = CallerKind {
    name: "repeating",
    key: DESK_KEY,
    paths: &["/lookup/"],
    parts: "",
    body: CallBody::Same(CRASHING_BODY),
    pause: Duration::from_millis(100),
    timeout: Duration::from_secs(12),
};
const CRASHING_BODY: &str = "poison";
/// Rate limits of runners.
const LIMITS: [Option<&str>; 4] = [None, None, Some("0.5"), Some("8")];
/// Units of each request of the workspace `bulk`.
const BULK_COST: f64 = 200.0;
const BULK_RATE_PER_S: f64 = 4_000.0;
const BULK_BURST: f64 = 4_000.0;
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 8_000.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(8);

/// Returns the configuration of the other tests, with the workspace `bulk`.
fn configuration(version: u64) -> Value {
    let mut configuration = super::harness::configuration(version);
    configuration["tenants"].as_array_mut().unwrap().push(json!({
        "name": "bulk", "apiKeys": [BULK.key], "priority": 1, "unit": "tokens",
        "plainTokens": BULK_COST, "ratePerS": BULK_RATE_PER_S, "burst": BULK_BURST,
    }));
    configuration
}

/// Starts a runner that crashes under the crashing requests.
fn start_runner(upstream: &str, name: &str, mode: RunnerMode, version: &str) -> FleetRunner {
    let runner = FleetRunner::start(name, mode).unwrap();
    runner.crash_on_body(CRASHING_BODY.as_bytes());
    if upstream == "dala" {
        runner.set_version(version);
        runner.crash_on(CRASHING_PART);
    }
    runner
}

/// The processes and the state of one run.
struct Soak {
    rng: StdRng,
    store: StoreStandIn,
    /// The proxy between each host and the store.
    store_proxies: Vec<FaultProxy>,
    settings: Vec<DaemonSettings>,
    hosts: Vec<Option<Daemon>>,
    /// Runners with their upstreams and the proxy before each.
    runners: Vec<(FleetRunner, &'static str, FaultProxy)>,
    /// Runs of the runners that have crashed, and the number of these.
    ended_runs: Vec<RunnerRun>,
    crashes: usize,
    version: u64,
}

impl Soak {
    async fn new(seed: u64, hosts: usize) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.put("op/config", configuration(1).to_string().as_bytes());
        let store_proxies: Vec<_> =
            (0..hosts).map(|_| FaultProxy::start(store.address()).unwrap()).collect();
        let settings: Vec<_> = store_proxies
            .iter()
            .enumerate()
            .map(|(n, proxy)| {
                let settings = DaemonSettings::with_fleet_store(&format!("h{n}"), proxy.address());
                let settings = settings.unwrap().with_workers(1).with_fleet("region", "almaty");
                settings
                    .with_fleet("host-lease", HOST_LEASE)
                    .with_fleet("quota-overage", &QUOTA_OVERAGE.to_string())
                    .with_fleet("quota-slack", &QUOTA_SLACK.to_string())
                    .with_fleet("quota-window", &format!("{}s", QUOTA_WINDOW.as_secs()))
            })
            .collect();
        let mut runners = Vec::new();
        for (n, version) in VERSIONS.into_iter().enumerate() {
            for (upstream, mode) in
                [("survey", RunnerMode::Whole), ("dala", RunnerMode::Stream(EVENTS))]
            {
                let runner = start_runner(upstream, &format!("{upstream}-{n}"), mode, version);
                let proxy = FaultProxy::start(runner.address()).unwrap();
                runners.push((runner, upstream, proxy));
            }
        }
        let hosts = settings.iter().map(|s| Some(Daemon::start(s.clone()))).collect();
        let rng = StdRng::seed_from_u64(seed);
        let mut soak = Self {
            rng,
            store,
            store_proxies,
            settings,
            hosts,
            runners,
            ended_runs: Vec::new(),
            crashes: 0,
            version: 1,
        };
        for n in 0..soak.runners.len() {
            soak.put_runner(n, "ready");
        }
        for host in soak.hosts.iter_mut().flatten() {
            host.ready().await.unwrap();
        }
        soak
    }

    /// Writes a runner's entry.
    fn put_runner(&self, n: usize, state: &str) {
        let (runner, upstream, proxy) = &self.runners[n];
        let mut entry = runner_entry(proxy.address(), upstream, state);
        if let Some(number) = runner.name().strip_prefix("dala-") {
            let number = number.split('-').next().unwrap();
            entry["version"] = json!(VERSIONS[number.parse::<usize>().unwrap()]);
        }
        self.store.put(&format!("servers/{}", runner.name()), entry.to_string().as_bytes());
    }

    /// Replaces the runners that have crashed by others, which breaks their connections.
    fn replace_crashed(&mut self) {
        for n in 0..self.runners.len() {
            if !self.runners[n].0.has_crashed() {
                continue;
            }
            self.crashes += 1;
            let former = self.runners[n].0.name().to_owned();
            let number = former.split('-').nth(1).unwrap();
            let upstream = self.runners[n].1;
            let name = format!("{upstream}-{number}-{}", self.crashes);
            let version = VERSIONS[number.parse::<usize>().unwrap()];
            let runner = start_runner(upstream, &name, Self::usual_mode(upstream), version);
            let proxy = FaultProxy::start(runner.address()).unwrap();
            let former = std::mem::replace(&mut self.runners[n], (runner, upstream, proxy));
            former.2.cut_all();
            self.ended_runs.extend(former.0.runs());
            self.store.delete(&format!("servers/{}", former.0.name()));
            self.put_runner(n, "ready");
        }
    }

    fn usual_mode(upstream: &str) -> RunnerMode {
        if upstream == "survey" { RunnerMode::Whole } else { RunnerMode::Stream(EVENTS) }
    }

    fn signal(&mut self, host: usize, signal: Signal) {
        // A host that has exited after its planned stop gets no signal.
        if let Some(host) = &mut self.hosts[host]
            && !host.has_exited()
        {
            host.signal(signal).unwrap();
        }
    }

    /// Injects a fault or clears one.
    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let runner = self.rng.random_range(0..self.runners.len());
        match self.rng.random_range(0..18) {
            0 => self.hosts[host] = None,
            1 => self.signal(host, Signal::Terminate),
            2 => self.signal(host, Signal::Stop),
            3 | 4 => self.signal(host, Signal::Continue),
            5 => self.signal(host, Signal::Hangup),
            6 => self.store_proxies[host].partition().unwrap(),
            7 | 8 => self.store_proxies[host].heal().unwrap(),
            9 => self.store_proxies[host].cut_all(),
            10 => {
                let delay = Duration::from_millis(self.rng.random_range(0..1_500));
                let faults = StoreFaults::new();
                let faults = match self.rng.random_range(0..6) {
                    0 => faults.with_outage(StoreOutage::Busy),
                    1 => faults.with_outage(StoreOutage::Silent),
                    2 => faults.with_outage(StoreOutage::Cut),
                    3 => faults.with_lost_replies("", 5).with_effects_after(delay),
                    4 => faults.with_delay(delay),
                    _ => faults,
                };
                self.store.set_faults(faults);
                self.store.compact();
            }
            11 => {
                self.version += 1;
                let text = configuration(self.version).to_string();
                self.store.put("op/config", text.as_bytes());
            }
            12 | 15 | 16 => {
                let modes = [
                    RunnerMode::Fails,
                    RunnerMode::NotExecuted,
                    RunnerMode::Disconnect,
                    RunnerMode::CutAfter(2),
                    RunnerMode::WrongRequestId,
                    RunnerMode::Unsigned,
                    RunnerMode::Misdirected,
                ];
                let mode = match self.runners[runner].1 {
                    "dala" if self.rng.random_bool(0.5) => {
                        RunnerMode::CutAfter(self.rng.random_range(1..EVENTS))
                    }
                    _ => modes[self.rng.random_range(0..modes.len())],
                };
                self.runners[runner].0.set_mode(mode);
            }
            13 => self.runners[runner].2.cut_all(),
            17 => {
                let limit = LIMITS[self.rng.random_range(0..LIMITS.len())];
                self.runners[runner].0.set_limit(limit);
            }
            _ => {
                let states = ["ready", "draining"];
                let state = states[self.rng.random_range(0..states.len())];
                self.put_runner(runner, state);
                let (runner, upstream, _) = &self.runners[runner];
                runner.set_mode(Self::usual_mode(upstream));
            }
        }
        // Hosts that were killed or have exited after their planned stop are
        // started again at random.
        for (host, settings) in self.hosts.iter_mut().zip(&self.settings) {
            let down = host.as_mut().is_none_or(|host| host.has_exited());
            if down && self.rng.random_range(0..3) == 0 {
                *host = Some(Daemon::start(settings.clone()));
            }
        }
    }

    /// Clears all faults and waits until all hosts serve.
    async fn heal(&mut self) {
        self.replace_crashed();
        self.store.set_faults(StoreFaults::default());
        for proxy in &self.store_proxies {
            proxy.heal().unwrap();
        }
        for n in 0..self.runners.len() {
            self.put_runner(n, "ready");
            self.runners[n].0.set_mode(Self::usual_mode(self.runners[n].1));
            self.runners[n].0.set_limit(None);
        }
        for (host, settings) in self.hosts.iter_mut().zip(&self.settings) {
            // A host in its planned stop would exit later.
            *host = None;
            *host = Some(Daemon::start(settings.clone()));
        }
        for host in self.hosts.iter_mut().flatten() {
            host.ready().await.unwrap();
        }
        for (n, settings) in self.settings.iter().enumerate() {
            for (path, _) in PATHS {
                let served = || async {
                    let mut connection = Connection::open(settings.callers).await?;
                    let id = format!("after-{n}-{path}");
                    let (result, _) = connection.call(&DESK, id, path, None).await;
                    result.filter(|result| result.status == 200 && result.complete).map(|_| ())
                };
                eventually(served).await.unwrap_or_else(|| panic!("h{n} does not serve {path}"));
            }
        }
    }

    /// Counts how often each request ran.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        let running = self.runners.iter().flat_map(|(runner, ..)| runner.runs());
        for run in running.chain(self.ended_runs.iter().cloned()) {
            *runs.entry(run.request_id).or_default() += 1;
        }
        runs
    }
}

/// Runs one seed with this many faults.
async fn run_soak(seed: u64, hosts: usize, fault_count: usize) {
    let mut soak = Soak::new(seed, hosts).await;
    let results = Rc::new(RefCell::new(Vec::new()));
    let addresses: Vec<SocketAddr> = soak.settings.iter().map(|s| s.callers).collect();
    let kinds = std::iter::repeat_n(DESK, CALLERS).chain(std::iter::repeat_n(BULK, BULK_CALLERS));
    let kinds = kinds.chain(std::iter::repeat_n(CRASHING, CRASHING_CALLERS)).chain([REPEATING]);
    let callers: Vec<_> = (0..)
        .zip(kinds)
        .map(|(caller, kind)| {
            start_caller(kind, seed << 8 | caller, addresses.clone(), results.clone())
        })
        .collect();
    for _ in 0..fault_count {
        let pause = soak.rng.random_range(50..500);
        sleep(Duration::from_millis(pause)).await;
        soak.replace_crashed();
        soak.inject_fault();
    }
    for caller in callers {
        caller.abort();
    }
    soak.heal().await;
    check_results(seed, &soak, &results.borrow());
    check_quota(seed, &soak);
}

/// Checks that the workspace `bulk` stayed within its quota in every window.
fn check_quota(seed: u64, soak: &Soak) {
    let runs = soak.runners.iter().flat_map(|(runner, ..)| runner.runs());
    let bulk = runs.filter(|run| run.request_id.starts_with(BULK.name));
    let mut arrivals: Vec<Instant> = bulk.map(|run| run.arrived_at).collect();
    arrivals.sort();
    let in_window = |from: usize| {
        let until = arrivals[from] + QUOTA_WINDOW;
        arrivals[from..].iter().take_while(|at| **at <= until).count()
    };
    let most = (0..arrivals.len()).map(in_window).max().unwrap_or(0) as f64 * BULK_COST;
    let quota = BULK_RATE_PER_S * QUOTA_WINDOW.as_secs_f64() + BULK_BURST;
    let allowed = quota * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
    eprintln!("seed {seed}: at most {most} of {allowed:.0} units in a window");
    assert!(most <= allowed, "seed {seed}: {most} of {allowed:.0} units in a window");
}

/// Returns the whole stream of a runner of this version.
fn versioned_events(version: &str) -> String {
    (1..=EVENTS).map(|n| format!("id: {n}\ndata: e{n} of {version}\n\n")).collect()
}

/// Checks the responses against the runs that the runners recorded.
fn check_results(seed: u64, soak: &Soak, results: &[CallResult]) {
    let runs = soak.runs();
    let streams = VERSIONS.map(versioned_events);
    let mut served = 0;
    for CallResult { id, path, status, echoed_id, complete, body } in results {
        let ran = runs.get(id).copied().unwrap_or(0);
        let at_most_once = AT_MOST_ONCE_PATHS.contains(path);
        assert!(!at_most_once || ran <= 1, "seed {seed}: {id} at {path} ran {ran} times");
        let reported_not_run = at_most_once && NOT_RUN_STATUSES.contains(status);
        assert!(
            !reported_not_run || ran == 0,
            "seed {seed}: {id} at {path} ran despite status {status}"
        );
        assert!(
            echoed_id.as_ref().is_none_or(|echoed| echoed == id),
            "seed {seed}: {id} at {path} got the response to {echoed_id:?}"
        );
        let is_stream = ["/tags/", "/report/"].contains(path);
        if *status == 200 && is_stream && !complete {
            let of_one_version = streams.iter().any(|stream| stream.starts_with(body.as_str()));
            assert!(of_one_version, "seed {seed}: {id} at {path} got {body:?}");
        }
        if *status == 200 && *complete {
            served += usize::from(id.starts_with(DESK.name));
            let intact = match *path {
                "/tags/" | "/report/" => streams.contains(body),
                _ => body.starts_with("answer of survey-"),
            };
            assert!(intact && ran > 0, "seed {seed}: {id} at {path} got {body:?}, ran {ran}");
        }
    }
    let desk = results.iter().filter(|result| result.id.starts_with(DESK.name)).count();
    let count = |kind: &CallerKind| runs.keys().filter(|id| id.starts_with(kind.name)).count();
    let (crashing, repeated) = (count(&CRASHING), count(&REPEATING));
    eprintln!(
        "seed {seed}: {served} of {desk} served, {crashing} with the crashing part and {repeated} \
         repeats ran, {} crashes",
        soak.crashes
    );
    assert!(served * 4 > desk, "seed {seed}: {served} of {desk} served");
}

#[rstest]
#[actix_rt::test]
async fn a_short_soak_violates_no_guarantee(#[values(1, 2, 3, 4)] seed: u64) {
    run_soak(seed, HOSTS, 40).await;
}

#[rstest]
#[actix_rt::test]
#[ignore = "takes minutes; run by hand before a release"]
async fn fifty_soaks_violate_no_guarantee(#[values(1, 11, 21, 31, 41)] first_seed: u64) {
    for seed in first_seed..first_seed + 10 {
        run_soak(seed, HOSTS, 40).await;
    }
}

#[actix_rt::test]
#[ignore = "takes minutes and hundreds of threads; run by hand before a release"]
async fn soaks_of_many_hosts_violate_no_guarantee() {
    for seed in 51..=53 {
        run_soak(seed, MANY_HOSTS, 60).await;
    }
}
