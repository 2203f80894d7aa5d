//! Runners that are processes of their own, so that the kernel accepts and buffers for one
//! that is frozen, and machines that lose power, whose connections end neither with FIN nor
//! with RST until they are used again. Drawn from a seed. No request that may run at most
//! once runs twice or after a refusal, and all hosts serve within the users' time for
//! recovery.
//!
//! CI runs a few seeds. To run forty by hand:
//!
//! ```text
//! cargo test --test testsuite runner_processes -- --ignored
//! ```

mod callers;
mod check;
mod machines;

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::time::{Instant, sleep, timeout};
use comfreyway_testkit::{
    proxy::FaultProxy,
    runner_process::RunnerOptions,
    store::{StoreFaults, StoreOutage},
};
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use super::{harness::FleetHarness, restart_soak::MAX_TAKEN_MS};

use self::{
    callers::{Statuses, start_caller, wait_until_served},
    check::check,
    machines::{HostMachine, RunnerMachine, draw_ms},
};

const HOSTS: usize = 4;
const RUNNERS: usize = 3;
const CALLERS: usize = 16;
const ROUNDS: usize = 3;

/// Time of the disruptions of one round.
const ROUND_TIME: Duration = Duration::from_millis(2_500);

/// Time of the users' deployments for recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time after the last response in which a request that was refused might still begin.
const LATE_TIME: Duration = Duration::from_secs(5);

/// Whether connections go through links, which may fall silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Links {
    Direct,
    Silenced,
}

/// The end of a disruption.
enum End {
    ContinueRunner(usize),
    RestartRunner(usize, bool),
    RemoveEntry(String),
    PutEntry(usize),
    ContinueHost(usize),
    StartHost(usize),
    Reset,
}

struct Soak {
    rng: StdRng,
    fleet: FleetHarness,
    runners: Vec<RunnerMachine>,
    hosts: Vec<HostMachine>,
    ends: Vec<(Instant, End)>,
    links: Links,
}

impl Soak {
    fn start(seed: u64, links: Links) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = FleetHarness::new();
        let linked = links == Links::Silenced;
        let start = |number: usize| {
            let options = RunnerOptions {
                seed: seed << 4 | number as u64,
                work_ms: rng.random_range(5..60),
                slots: rng.random_range(2..6),
                backlog: [1, 128][rng.random_range(0..2)],
                faults_per_mille: [0, 100, 300][rng.random_range(0..3)],
            };
            RunnerMachine::start(number, options, linked)
        };
        let runners: Vec<_> = (0..RUNNERS).map(start).collect();
        runners.iter().for_each(|runner| runner.register(&fleet));
        let hosts = (0..HOSTS).map(|number| HostMachine::start(number, &fleet, linked)).collect();
        Self { rng, fleet, runners, hosts, ends: Vec::new(), links }
    }

    fn end_after(&mut self, range: std::ops::Range<u64>, end: End) {
        let time = draw_ms(&mut self.rng, range);
        self.ends.push((Instant::now() + time, end));
    }

    /// Begins a disruption.
    fn disrupt(&mut self) {
        let (runner, host) = (self.rng.random_range(0..RUNNERS), self.rng.random_range(0..HOSTS));
        let kinds = if self.links == Links::Silenced { 10 } else { 6 };
        match self.rng.random_range(0..kinds) {
            0 if !self.runners[runner].frozen => {
                self.runners[runner].set_frozen(true);
                self.end_after(300..4_500, End::ContinueRunner(runner));
            }
            1 => self.end_runner(runner),
            2 if !self.hosts[host].frozen => {
                self.hosts[host].set_frozen(true);
                self.end_after(300..4_500, End::ContinueHost(host));
            }
            3 => {
                self.hosts[host].kill();
                self.end_after(0..1_000, End::StartHost(host));
            }
            4 => self.hosts[host].stop(),
            // What the only runner left rejects comes back to it.
            5 => {
                for other in (0..RUNNERS).filter(|other| *other != runner) {
                    let name = self.runners[other].process.name();
                    self.fleet.store.delete(&format!("servers/{name}"));
                    self.end_after(200..1_500, End::PutEntry(other));
                }
            }
            6 => {
                self.runners[runner].link.iter().for_each(FaultProxy::silence);
                self.end_runner(runner);
                self.end_after(200..3_000, End::Reset);
            }
            7 => {
                self.runners[runner].link.iter().for_each(FaultProxy::silence);
                self.end_after(200..3_000, End::Reset);
            }
            8 => {
                self.hosts[host].links.iter().for_each(FaultProxy::silence);
                self.hosts[host].kill();
                self.end_after(0..1_000, End::StartHost(host));
                self.end_after(200..3_000, End::Reset);
            }
            9 => {
                self.hosts[host].links.iter().for_each(FaultProxy::silence);
                self.end_after(200..3_000, End::Reset);
            }
            _ => {}
        }
    }

    fn end_runner(&mut self, runner: usize) {
        self.runners[runner].process.kill();
        let renamed = self.rng.random_bool(0.5);
        self.end_after(0..1_000, End::RestartRunner(runner, renamed));
    }

    fn links(&self) -> impl Iterator<Item = &FaultProxy> {
        let hosts = self.hosts.iter().flat_map(|host| &host.links);
        self.runners.iter().filter_map(|runner| runner.link.as_ref()).chain(hosts)
    }

    /// Ends the disruptions that last until `time`, and starts what ended by itself.
    fn end_until(&mut self, time: Instant) {
        let due = self.ends.extract_if(.., |(at, _)| *at <= time);
        for (_, end) in due.collect::<Vec<_>>() {
            match end {
                End::ContinueRunner(number) => self.runners[number].set_frozen(false),
                End::RestartRunner(number, renamed) => self.restart_runner(number, renamed),
                End::RemoveEntry(name) => self.fleet.store.delete(&format!("servers/{name}")),
                End::PutEntry(number) => self.runners[number].register(&self.fleet),
                End::ContinueHost(number) => self.hosts[number].set_frozen(false),
                End::StartHost(number) => self.hosts[number].start_again(),
                End::Reset => self.links().for_each(FaultProxy::reset_silenced),
            }
        }
        for number in 0..RUNNERS {
            let restarts =
                |(_, end): &(_, End)| matches!(end, End::RestartRunner(n, _) if *n == number);
            if self.runners[number].process.has_exited() && !self.ends.iter().any(restarts) {
                let renamed = self.rng.random_bool(0.5);
                self.restart_runner(number, renamed);
            }
        }
        self.hosts.iter_mut().for_each(HostMachine::start_stopped);
    }

    fn restart_runner(&mut self, number: usize, renamed: bool) {
        if let Some(former) = self.runners[number].restart(renamed, &self.fleet) {
            self.end_after(0..1_500, End::RemoveEntry(former));
        }
    }

    fn end_all(&mut self) {
        // A restart leaves an entry to remove.
        while let Some(last) = self.ends.iter().map(|(at, _)| *at).max() {
            self.end_until(last);
        }
    }

    /// All hosts lose power, with the runners at times, and have it again after a while.
    async fn end_hosts(&mut self) {
        if self.links == Links::Silenced {
            self.links().for_each(FaultProxy::silence);
        }
        self.hosts.iter_mut().for_each(HostMachine::kill);
        sleep(draw_ms(&mut self.rng, 0..800)).await;
        self.ends.retain(|(_, end)| !matches!(end, End::StartHost(_) | End::Reset));
        self.end_all();
        if self.rng.random_bool(0.5) {
            (0..RUNNERS).for_each(|runner| self.end_runner(runner));
        }
        let outages = [None, None, Some(StoreOutage::Cut), Some(StoreOutage::Silent)];
        if let Some(outage) = outages[self.rng.random_range(0..outages.len())] {
            self.fleet.store.set_faults(StoreFaults::new().with_outage(outage));
        }
        let taken = self.hosts.iter().filter_map(|host| host.take_port(&mut self.rng));
        let taken: Vec<_> = taken.collect();
        self.hosts.iter_mut().for_each(HostMachine::start_again);
        sleep(draw_ms(&mut self.rng, 0..MAX_TAKEN_MS)).await;
        drop(taken);
        self.fleet.store.set_faults(StoreFaults::new());
        self.links().for_each(FaultProxy::reset_silenced);
    }
}

async fn run(seed: u64, links: Links) {
    let mut soak = Soak::start(seed, links);
    let addresses: Vec<_> = soak.hosts.iter().map(HostMachine::address).collect();
    let statuses = Statuses::default();
    let stopped = Rc::new(Cell::new(false));
    let callers = (0..CALLERS).map(|number| {
        start_caller(number, seed, addresses.clone(), statuses.clone(), stopped.clone())
    });
    let callers: Vec<_> = callers.collect();
    let mut late = Vec::new();
    let mut longest = Duration::ZERO;
    for round in 0..ROUNDS {
        let end = Instant::now() + ROUND_TIME;
        while Instant::now() < end {
            sleep(draw_ms(&mut soak.rng, 50..250)).await;
            soak.end_until(Instant::now());
            if soak.rng.random_bool(0.5) {
                soak.disrupt();
            }
        }
        soak.end_hosts().await;
        let names: Vec<_> = (0..HOSTS).map(|host| format!("{round}-{host}")).collect();
        let served = addresses.iter().zip(&names);
        let served = served.map(|(host, name)| wait_until_served(*host, name, &statuses));
        let mut recovery = Box::pin(timeout(RECOVERY_TIME, join_all(served)));
        let began = Instant::now();
        // Runners may end in the middle of a response meanwhile.
        let recovered = loop {
            tokio::select! {
                recovered = &mut recovery => break recovered.is_ok(),
                () = sleep(Duration::from_millis(100)) => soak.end_until(Instant::now()),
            }
        };
        longest = longest.max(began.elapsed());
        if !recovered {
            late.push(round);
        }
    }
    stopped.set(true);
    join_all(callers).await;
    soak.end_all();
    sleep(LATE_TIME).await;
    eprintln!("seed {seed}, {links:?}: hosts served after {longest:?} at most");
    check(seed, &soak, &statuses.borrow(), &late);
}

#[rstest]
#[actix_rt::test]
async fn no_request_runs_twice_or_after_a_refusal_at_frozen_and_killed_runners(
    #[values(1, 2)] seed: u64,
) {
    run(seed, Links::Direct).await;
}

#[rstest]
#[actix_rt::test]
async fn no_request_runs_twice_or_after_a_refusal_at_machines_that_lose_power(
    #[values(1, 2)] seed: u64,
) {
    run(seed, Links::Silenced).await;
}

#[rstest]
#[actix_rt::test]
#[ignore = "takes minutes; run by hand before a release"]
async fn no_request_runs_twice_or_after_a_refusal_in_forty_soaks(
    #[values(Links::Direct, Links::Silenced)] links: Links,
    #[values(3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22)] seed: u64,
) {
    run(seed, links).await;
}
