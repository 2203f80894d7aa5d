//! Rollouts of versions that are good, or bad in different ways, under drawn loads.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{
        Decision, Rollout, RolloutLimits, RolloutOrder, RolloutPhase, RolloutProgress,
        RolloutState, RunnerVersion, Share, UpstreamScheduler,
    },
    ids::RunnerName,
    request::{DispatchEnd, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::support::{at, id, name, record};

const STEP_MS: u64 = 10;
const ORDERED_MS: u64 = 2_000;
const DURATION_MS: u64 = 12_000;
/// Bounds of the users' sheets.
const LIMITS: RolloutLimits = RolloutLimits { exposure_share: 0.1, exposure_slack: 50.0 };
/// Time after the 50th bad response from which on a bad version gets nothing.
const ROLLBACK_MS: u64 = 5_000;
const SEEDS: u64 = 16;

/// How a version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Version {
    Good,
    /// This fraction of its responses are failures.
    Fails(f64),
    /// It fails from the middle of the canary on.
    FailsLater,
    /// It fails at runners with several requests.
    FailsUnderLoad,
    /// It fails in one class.
    FailsInOneClass,
    /// Its responses take this many times as long.
    Slow(f64),
    /// Its runners refuse connections.
    Unreachable,
}

/// What goes wrong beside.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Responses of one runner of the new version fail half of the time.
    SickRunner,
    /// Some runners of both versions crash and come back.
    Crashes,
    /// All runners fail a few of their requests.
    Errors,
    /// Twice the load for some seconds.
    Burst,
}

struct Play {
    rng: StdRng,
    scheduler: UpstreamScheduler,
    version: Version,
    fault: Fault,
    /// Time factors of runners.
    speeds: BTreeMap<RunnerName, f64>,
    ends: BTreeMap<u64, Vec<(u128, DispatchEnd)>>,
    /// First tokens that are due.
    firsts: BTreeMap<u64, Vec<u128>>,
    runner_of: BTreeMap<u128, RunnerName>,
    class_of: BTreeMap<u128, u8>,
    next: u128,
    since_order: f64,
    exposed: f64,
    /// When each bad response of the new version ended.
    bad_ends: Vec<u64>,
    last_exposed_ms: u64,
}

impl Play {
    fn new(seed: u64, version: Version, fault: Fault) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut scheduler = UpstreamScheduler::new(true);
        let mut speeds = BTreeMap::new();
        let runners = rng.random_range(6..14);
        for number in 0..2 * runners {
            let is_new = number >= runners;
            let runner = name(&format!("{}{number}", if is_new { "new" } else { "old" }));
            scheduler.set_runner(runner.clone(), 5, false);
            scheduler.set_version(&runner, RunnerVersion::new(if is_new { "v2" } else { "v1" }));
            speeds.insert(runner, [0.7, 0.7, 3.0][rng.random_range(0..3)]);
        }
        Self {
            rng,
            scheduler,
            version,
            fault,
            speeds,
            ends: BTreeMap::new(),
            firsts: BTreeMap::new(),
            runner_of: BTreeMap::new(),
            class_of: BTreeMap::new(),
            next: 0,
            since_order: 0.0,
            exposed: 0.0,
            bad_ends: Vec::new(),
            last_exposed_ms: 0,
        }
    }

    /// Plays until after the deadline. Returns the final state.
    fn run(mut self) -> Self {
        for ms in (0..ORDERED_MS + DURATION_MS + 1_000).step_by(STEP_MS as usize) {
            if ms == ORDERED_MS {
                let order = RolloutOrder {
                    target: RunnerVersion::new("v2").unwrap(),
                    duration: Duration::from_millis(DURATION_MS),
                    revision: 7,
                };
                let rollout = Rollout::new(at(ms), order, LIMITS, &RolloutProgress::default());
                self.scheduler.set_rollout(Some(rollout));
            }
            self.step(ms);
        }
        self
    }

    fn step(&mut self, ms: u64) {
        let mut out = Vec::new();
        let later = self.firsts.split_off(&(ms + 1));
        for number in std::mem::replace(&mut self.firsts, later).into_values().flatten() {
            self.scheduler.first_token(at(ms), id(number));
        }
        let later = self.ends.split_off(&(ms + 1));
        for (number, end) in std::mem::replace(&mut self.ends, later).into_values().flatten() {
            let Some(runner) = self.runner_of.remove(&number) else { continue };
            let is_bad = !matches!(end, DispatchEnd::Complete(usage) if !usage.failed);
            let is_slow = matches!(self.version, Version::Slow(_));
            if runner.as_str().starts_with("new") && (is_bad || is_slow) && ms >= ORDERED_MS {
                self.bad_ends.push(ms);
            }
            self.scheduler.ended(at(ms), id(number), end);
        }
        if self.fault == Fault::Crashes && self.rng.random_range(0..300) == 0 {
            self.crash(ms);
        }
        let burst = self.fault == Fault::Burst && (6_000..9_000).contains(&ms);
        let per_step = if burst { 4 } else { 2 };
        for _ in 0..per_step {
            if self.rng.random_range(0..5) < 2 {
                self.submit(ms, &mut out);
            }
        }
        if ms >= ORDERED_MS && ms.is_multiple_of(100) {
            self.scheduler.update_rollout(at(ms), Share::new(1, 1), true);
        }
        self.scheduler.tick(at(ms), &mut out);
        while !out.is_empty() {
            let mut again = Vec::new();
            for decision in std::mem::take(&mut out) {
                if let Decision::Grant(_, granted, runner) = decision {
                    self.dispatch(ms, granted.value(), runner, &mut again);
                }
            }
            out = again;
        }
    }

    fn submit(&mut self, ms: u64, out: &mut Vec<Decision>) {
        self.next += 1;
        let class = self.rng.random_range(0..3);
        let record = record(self.next, class, self.rng.random_range(300..4_000));
        self.class_of.insert(self.next, class);
        self.scheduler.submit(at(ms), record, Duration::from_secs(8), None, out);
    }

    fn dispatch(&mut self, ms: u64, number: u128, runner: RunnerName, out: &mut Vec<Decision>) {
        let is_new = runner.as_str().starts_with("new");
        if is_new && self.version == Version::Unreachable {
            let broken = comfreyway_core::fleet::DispatchFailure::Broken;
            self.scheduler.requeue(at(ms), id(number), Some(broken), out);
            return;
        }
        if ms >= ORDERED_MS {
            self.since_order += 1.0;
            if is_new {
                self.exposed += 1.0;
                self.last_exposed_ms = ms;
            }
        }
        let slowness = match self.version {
            Version::Slow(factor) if is_new => factor,
            _ => 1.0,
        };
        let speed = self.speeds[&runner] * slowness;
        let first = (self.rng.random_range(40.0..120.0) * speed) as u64;
        let tokens = self.rng.random_range(8..150);
        let total = first + (f64::from(tokens) * 5.0 * speed) as u64;
        let in_progress = self.runner_of.values().filter(|other| **other == runner).count();
        let mut fails = match self.version {
            Version::Fails(share) => is_new && self.rng.random_bool(share),
            Version::FailsLater => is_new && ms > ORDERED_MS + 4_000 && self.rng.random_bool(0.5),
            Version::FailsUnderLoad => is_new && in_progress >= 1 && self.rng.random_bool(0.6),
            Version::FailsInOneClass => {
                is_new && self.class_of[&number] == 1 && self.rng.random_bool(0.6)
            }
            Version::Good | Version::Slow(_) | Version::Unreachable => false,
        };
        let sick = name(&format!("new{}", self.speeds.len() - 1));
        fails |= self.fault == Fault::SickRunner && runner == sick && self.rng.random_bool(0.5);
        fails |= self.fault == Fault::Errors && self.rng.random_bool(0.06);
        self.runner_of.insert(number, runner);
        let total = if fails { first } else { total };
        let usage = Usage {
            prefill_tokens: 1_000,
            decode_tokens: tokens,
            first_token: Duration::from_millis(first),
            total: Duration::from_millis(total),
            failed: fails,
            ..Usage::default()
        };
        if !fails {
            self.firsts.entry(ms + first).or_default().push(number);
        }
        self.ends.entry(ms + total).or_default().push((number, DispatchEnd::Complete(usage)));
    }

    /// Breaks all requests of a random runner.
    fn crash(&mut self, ms: u64) {
        let number = self.rng.random_range(0..self.speeds.len());
        let runner = self.speeds.keys().nth(number).unwrap().clone();
        let broken = self.runner_of.iter().filter(|(_, at)| **at == runner);
        for number in broken.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.runner_of.remove(&number);
            self.scheduler.ended(at(ms), id(number), DispatchEnd::Failed);
        }
    }

    fn state(&self) -> RolloutState {
        self.scheduler.rollout().unwrap().state()
    }

    /// Requests beyond what a bad version may get.
    fn excess(&self) -> f64 {
        let RolloutLimits { exposure_share, exposure_slack } = LIMITS;
        self.exposed - exposure_share * self.since_order - exposure_slack
    }
}

#[rstest]
#[case::all(Version::Fails(1.0))]
#[case::some(Version::Fails(0.3))]
#[case::later(Version::FailsLater)]
#[case::under_load(Version::FailsUnderLoad)]
#[case::one_class(Version::FailsInOneClass)]
#[case::slow(Version::Slow(5.0))]
#[case::slower(Version::Slow(4.0))]
#[case::unreachable(Version::Unreachable)]
fn bad_versions_are_rolled_back_within_their_exposure(#[case] version: Version) {
    for seed in 0..SEEDS {
        let play = Play::new(seed, version, Fault::None).run();
        assert_eq!(play.state(), RolloutState::RolledBack, "seed {seed}");
        assert!(play.excess() <= 0.0, "seed {seed}: {} of {}", play.exposed, play.since_order);
        if let Some(known) = play.bad_ends.get(49) {
            assert!(play.last_exposed_ms <= known + ROLLBACK_MS, "seed {seed}");
        }
    }
}

#[rstest]
#[case::calm(Fault::None)]
#[case::sick_runner(Fault::SickRunner)]
#[case::crashes(Fault::Crashes)]
#[case::errors(Fault::Errors)]
#[case::burst(Fault::Burst)]
fn good_versions_are_completed_by_the_deadline(#[case] fault: Fault) {
    for seed in 0..SEEDS {
        let play = Play::new(seed, Version::Good, fault).run();
        let rollout = play.scheduler.rollout().unwrap();
        let (phase, bad) = (rollout.phase(), rollout.evidence().bad_class());
        let expected = RolloutPhase::Ended(RolloutState::Completed);
        assert_eq!(phase, expected, "seed {seed}: {bad:?}");
    }
}

/// The store tells each coordinator what an earlier one let the version have.
#[test]
fn a_takeover_gives_the_canary_no_second_slack() {
    let progress = |rollout: &Rollout| rollout.gate().progress();
    let order = RolloutOrder {
        target: RunnerVersion::new("v2").unwrap(),
        duration: Duration::from_secs(12),
        revision: 7,
    };
    let class = "report".parse().unwrap();
    let target = order.target.clone();
    let mut kept = RolloutProgress::default();
    let mut exposed = 0;
    for _ in 0..10 {
        let mut rollout = Rollout::new(at(0), order.clone(), LIMITS, &kept);
        while rollout.gate().accepts(&class, Some(&target), false) {
            rollout.gate_mut().granted(&class, Some(&target));
            exposed += 1;
        }
        kept = progress(&rollout);
    }
    assert!(f64::from(exposed) <= LIMITS.exposure_slack, "{exposed}");
}

/// Hosts that can't reach each other have shares of what the canary may get.
#[test]
fn coordinators_without_each_other_share_the_canary() {
    let target = RunnerVersion::new("v2").unwrap();
    let class = "report".parse().unwrap();
    let mut exposed = 0;
    for _ in 0..6 {
        let order =
            RolloutOrder { target: target.clone(), duration: Duration::from_secs(12), revision: 7 };
        let mut rollout = Rollout::new(at(0), order, LIMITS, &RolloutProgress::default());
        rollout.set_share(Share::new(1, 6));
        while rollout.gate().accepts(&class, Some(&target), false) {
            rollout.gate_mut().granted(&class, Some(&target));
            exposed += 1;
        }
    }
    assert!(f64::from(exposed) <= LIMITS.exposure_slack, "{exposed}");
}
