//! Evidence for and against a version, from the responses of both sides at the same time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{ClassName, RunnerName},
    time::MonoTime,
};

use super::{durations::Durations, sequential_test::SequentialTest};

/// A response is slow if it takes this many times the median of the other versions.
const SLOW_FACTOR: f64 = 2.5;

/// Responses of the other versions from which on durations are compared.
const MIN_COMPARED: f64 = 12.0;

/// Least increases of the rates of failed and slow responses that matter.
const FAILURE_INCREASE: f64 = 0.1;
const SLOW_INCREASE: f64 = 0.35;

/// Weight of an assumed rate of one failure in a hundred before the other versions have
/// responded.
const PRIOR_RESPONSES: f64 = 20.0;
const PRIOR_RATE: f64 = 0.01;

/// Good responses of a class that a version needs before it gets all requests: this
/// number, or some and a fraction of all responses if these are few.
const MIN_ANSWERS: f64 = 12.0;
const MIN_ANSWERS_OF_FEW: f64 = 3.0;
const MIN_ANSWERED_FRACTION: f64 = 0.05;

/// Classes with a smaller fraction of the requests need no responses of their own.
const MIN_CLASS_FRACTION: f64 = 0.02;

/// Fraction of the bad responses that a single runner may have if the version is bad: with
/// more, that runner is sick.
const MAX_RUNNER_FRACTION: f64 = 0.75;

/// Sum of a sequential test, as a fraction of its threshold, with which a version does not
/// get all requests.
const MAX_SUSPICION: f64 = 0.5;

/// Time in which broken connections to one runner count as one failure: a crash breaks all.
const CRASH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of classes with evidence.
const MAX_CLASSES: usize = 256;

/// How a request ended at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutSample {
    /// A complete response, and its duration relative to the expected one.
    Answered(f64),
    /// The runner responded with a failure of its own.
    Failed,
    /// The connection failed, or the response broke.
    Broken,
    /// Abandoned after this time relative to the expected one. It may have been slow.
    Abandoned(f64),
}

/// Responses of one side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Responses {
    good: u32,
    failed: u32,
    slow: u32,
}

impl Responses {
    fn total(self) -> f64 {
        f64::from(self.good + self.failed + self.slow)
    }

    fn rate(self, bad: u32) -> f64 {
        (f64::from(bad) + PRIOR_RATE * PRIOR_RESPONSES) / (self.total() + PRIOR_RESPONSES)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct ClassEvidence {
    target: Responses,
    others: Responses,
    durations: Durations,
    failures: SequentialTest,
    slowness: SequentialTest,
    /// Bad responses of the target version's runners.
    bad_by_runner: BTreeMap<RunnerName, u32>,
}

impl ClassEvidence {
    /// Returns the higher sum of the sequential tests as a fraction of the threshold.
    fn suspicion(&self) -> f64 {
        self.failures.fraction().max(self.slowness.fraction())
    }

    /// Returns true if more than one runner of the version is to blame.
    fn is_spread(&self, runners: usize) -> bool {
        let all: u32 = self.bad_by_runner.values().sum();
        let most = self.bad_by_runner.values().max().copied().unwrap_or_default();
        runners < 2 || f64::from(most) <= MAX_RUNNER_FRACTION * f64::from(all)
    }
}

/// Responses of the target version and of the others, by class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    classes: BTreeMap<ClassName, ClassEvidence>,
    /// Runners of the target version that have got requests.
    used: BTreeSet<RunnerName>,
    /// When the last broken connection of a runner was counted.
    broken_at: BTreeMap<RunnerName, MonoTime>,
}

impl RolloutEvidence {
    /// Records how a request ended. `is_target` is true if the runner has the target
    /// version.
    pub fn record(
        &mut self,
        now: MonoTime,
        class: &ClassName,
        runner: &RunnerName,
        is_target: bool,
        sample: RolloutSample,
    ) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            return;
        }
        if sample == RolloutSample::Broken && self.is_same_crash(now, runner) {
            return;
        }
        if is_target {
            self.used.insert(runner.clone());
        }
        let evidence = self.classes.entry(class.clone()).or_default();
        let median = evidence.durations.median();
        let compares = evidence.durations.weight() >= MIN_COMPARED;
        let is_slow = |ratio: f64| compares && ratio > SLOW_FACTOR * median;
        let (failed, slow) = match sample {
            RolloutSample::Answered(ratio) => (false, is_slow(ratio)),
            RolloutSample::Failed | RolloutSample::Broken => (true, false),
            RolloutSample::Abandoned(ratio) if is_slow(ratio) => (false, true),
            RolloutSample::Abandoned(_) => return,
        };
        if let (RolloutSample::Answered(ratio), false) = (sample, is_target) {
            evidence.durations.observe(ratio);
        }
        let side = if is_target { &mut evidence.target } else { &mut evidence.others };
        match (failed, slow) {
            (true, _) => side.failed += 1,
            (_, true) => side.slow += 1,
            _ => side.good += 1,
        }
        if is_target {
            let others = evidence.others;
            evidence.failures.observe(failed, others.rate(others.failed), FAILURE_INCREASE);
            if !failed && compares {
                evidence.slowness.observe(slow, others.rate(others.slow), SLOW_INCREASE);
            }
            if failed || slow {
                *evidence.bad_by_runner.entry(runner.clone()).or_default() += 1;
            }
        }
    }

    fn is_same_crash(&mut self, now: MonoTime, runner: &RunnerName) -> bool {
        let counted = self.broken_at.get(runner);
        if counted.is_some_and(|at| now.since(*at) < CRASH_INTERVAL) {
            return true;
        }
        self.broken_at.insert(runner.clone(), now);
        false
    }

    /// Returns the class that shows the version as bad, if one does.
    #[must_use]
    pub fn bad_class(&self) -> Option<&ClassName> {
        let is_bad = |evidence: &ClassEvidence| {
            let exceeded = evidence.failures.exceeded() || evidence.slowness.exceeded();
            exceeded && evidence.is_spread(self.used.len())
        };
        self.classes.iter().find(|(_, evidence)| is_bad(evidence)).map(|(class, _)| class)
    }

    /// Returns the class with the highest sum of the sequential tests as a fraction of
    /// the threshold.
    #[must_use]
    pub fn most_suspicious(&self) -> Option<(&ClassName, f64)> {
        let fractions = self.classes.iter().map(|(class, e)| (class, e.suspicion()));
        fractions.max_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Returns true if the version has given enough good responses in each class that has
    /// a fraction of the requests worth mentioning, and no test that more than one runner
    /// adds to is half way to its threshold.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        let total = |e: &ClassEvidence| e.target.total() + e.others.total();
        let all: f64 = self.classes.values().map(total).sum();
        let matters = self.classes.values().filter(|e| total(e) >= MIN_CLASS_FRACTION * all);
        let is_answered = |evidence: &ClassEvidence| {
            let of_few = MIN_ANSWERS_OF_FEW + MIN_ANSWERED_FRACTION * total(evidence);
            f64::from(evidence.target.good) >= of_few.min(MIN_ANSWERS)
        };
        let is_suspicious =
            |e: &ClassEvidence| e.suspicion() >= MAX_SUSPICION && e.is_spread(self.used.len());
        let is_suspect = self.classes.values().any(is_suspicious);
        all > 0.0 && matters.into_iter().all(is_answered) && !is_suspect
    }

    /// Returns the number of good responses of the target version.
    #[must_use]
    pub fn good_answers(&self) -> u32 {
        self.classes.values().map(|evidence| evidence.target.good).sum()
    }

    /// Returns the number of bad responses of the target version.
    #[must_use]
    pub fn bad_answers(&self) -> u32 {
        self.classes.values().map(|e| e.target.failed + e.target.slow).sum()
    }
}
