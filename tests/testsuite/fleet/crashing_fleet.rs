//! Runners that requests crash, and that are replaced by others.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use comfreyway_testkit::fleet_runner::{FleetRunner, RunnerMode, RunnerRun};

use super::harness::{FleetHarness, PARTS};

/// Requests that may reach runners later than `CONTACT_TIME` after the crashes of which
/// the users know.
pub(super) const ALLOWED_ARRIVALS: usize = 3;

/// Time within which all hosts hear of each other, as the users configure it.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Maximum time until the known crashes.
const MAX_CRASH_TIME: Duration = Duration::from_secs(20);

/// Time after which a crashed runner is replaced.
const RESTART_TIME: Duration = Duration::from_millis(200);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What crashes a runner.
#[derive(Clone, Copy, Debug)]
pub(super) enum CrashTrigger {
    /// A part of a prompt.
    Part(&'static str),
    /// The body of a request.
    Body(&'static str),
}

impl CrashTrigger {
    fn arm(self, runner: &FleetRunner) {
        match self {
            Self::Part(part) => runner.crash_on(part),
            Self::Body(body) => runner.crash_on_body(body.as_bytes()),
        }
    }

    fn is_in(self, run: &RunnerRun) -> bool {
        match self {
            Self::Part(crashing) => run.headers.get(PARTS).is_some_and(|parts| {
                let mut parts = parts.split(',');
                parts.any(|part| part.split(':').next() == Some(crashing))
            }),
            Self::Body(body) => run.body == body.as_bytes(),
        }
    }
}

/// Runners of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunnerSet {
    pub(super) upstream: &'static str,
    pub(super) size: usize,
    pub(super) mode: RunnerMode,
    pub(super) work_time: Duration,
    pub(super) trigger: CrashTrigger,
}

/// A fleet whose runners crash and are replaced.
pub(super) struct CrashingFleet {
    pub(super) fleet: FleetHarness,
    set: RunnerSet,
    runners: Vec<FleetRunner>,
    started: usize,
    pub(super) crashes: Vec<Instant>,
    /// Arrivals of crashing requests at runners that have ended.
    arrivals: Vec<Instant>,
}

impl CrashingFleet {
    pub(super) fn new(set: RunnerSet) -> Self {
        let (runners, crashes, arrivals) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet =
            Self { fleet: FleetHarness::new(), set, runners, started: 0, crashes, arrivals };
        (0..set.size).for_each(|_| fleet.start_runner());
        fleet
    }

    fn start_runner(&mut self) {
        self.started += 1;
        let RunnerSet { upstream, mode, work_time, trigger, .. } = self.set;
        let name = format!("e{}", self.started);
        let runner = self.fleet.start_version(upstream, &name, "v1", mode);
        runner.set_work_time(work_time);
        trigger.arm(&runner);
        self.runners.push(runner);
    }

    /// Replaces runners that crash, until some time after `known_crashes`.
    pub(super) async fn run(&mut self, known_crashes: usize, time_after: Duration) {
        let started_at = Instant::now();
        let is_over = |fleet: &Self| match fleet.crashes.get(known_crashes - 1) {
            Some(last) => last.elapsed() > time_after,
            None => started_at.elapsed() > MAX_CRASH_TIME,
        };
        while !is_over(self) {
            self.replace_crashed().await;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends the runners that have crashed, and starts others after a while.
    async fn replace_crashed(&mut self) {
        let crashed: Vec<_> = self.runners.extract_if(.., |runner| runner.has_crashed()).collect();
        if crashed.is_empty() {
            return;
        }
        for runner in crashed {
            self.crashes.push(Instant::now());
            self.arrivals.extend(self.crashing_arrivals(&runner));
            let key = format!("servers/{}", runner.name());
            drop(runner);
            self.fleet.store.delete(&key);
        }
        sleep(RESTART_TIME).await;
        while self.runners.len() < self.set.size {
            self.start_runner();
        }
    }

    /// When the last of the known crashes was, or the last of fewer ones.
    pub(super) fn known_crash(&self, known_crashes: usize) -> Instant {
        *self.crashes.iter().take(known_crashes).next_back().unwrap()
    }

    /// Number of crashing requests that reached runners after this time.
    pub(super) fn arrivals_after(&self, at: Instant) -> usize {
        let running = self.runners.iter().flat_map(|runner| self.crashing_arrivals(runner));
        self.arrivals.iter().copied().chain(running).filter(|arrival| *arrival > at).count()
    }

    fn crashing_arrivals(&self, runner: &FleetRunner) -> Vec<Instant> {
        let runs = runner.runs().into_iter().filter(|run| self.set.trigger.is_in(run));
        runs.map(|run| run.arrived_at).collect()
    }
}

/// A caller's request that crashes no runner.
pub(super) struct SoundCall {
    pub(super) sent_at: Instant,
    pub(super) served: bool,
}

/// Counts the calls sent after this time that were served, and the others.
pub(super) fn served_after(calls: &[SoundCall], at: Instant) -> (usize, usize) {
    let after: Vec<_> = calls.iter().filter(|call| call.sent_at > at).collect();
    let served = after.iter().filter(|call| call.served).count();
    (served, after.len() - served)
}
