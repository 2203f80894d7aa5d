//! The runners, in the order in which they are looked at.
//!
//! Answers a fleet with thousands of runners: a decision looks at a few of them
//! and never passes over all. What is told of all runners together is summed up
//! from time to time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::RunnerName, time::MonoTime};

use super::RunnerState;

/// Runners that are compared for one request. More make the choice no better:
/// the order already names those that are expected to start a usual request
/// first, and both sites' pools of 15 are compared whole.
const LOOK_AT: usize = 32;

/// Prompt of a usual request in tokens, for the order.
const USUAL_PROMPT: f64 = 1_500.0;

/// Generated tokens of a usual request, for the order.
const USUAL_LENGTH: f64 = 100.0;

/// Weight of the time that a request keeps its place, against the time to its
/// start: a place that is free again sooner serves the next request.
pub(super) const WHOLE_WEIGHT: f64 = 0.1;

/// Time after which the sums over all runners are made anew. Rates are means
/// over several requests and change no faster.
const SUMS_AGE: Duration = Duration::from_millis(50);

/// How much of a runner is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Taken {
    /// It works on nothing, so that no stream waits for a prompt.
    Nothing,
    /// It has a free place.
    Some,
    /// It has none, or is leaving.
    All,
}

/// How much of a runner is taken, and its place in the order: the expected time
/// of a usual request in microseconds. None before it has a place.
type Rank = Option<(Taken, u64)>;

/// Runners by expected time.
type Order = BTreeSet<(u64, RunnerName)>;

/// What is told of all runners that are not leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    at: Option<MonoTime>,
    /// Places together.
    pub(super) slots: u32,
    /// Prefill time of a token over all places, in microseconds.
    pub(super) prefill_us: f64,
    /// Time of a generated token over all places, in microseconds.
    pub(super) decode_us: f64,
    /// Time of a plain answer over all places, in microseconds.
    pub(super) service_us: f64,
    /// Prefill time of a token at the fastest usable runner.
    pub(super) least_prefill_us: f64,
    /// Time of a plain answer at the fastest usable runner.
    pub(super) least_service_us: f64,
}

/// The runners of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    engine: bool,
    runners: BTreeMap<RunnerName, (Rank, RunnerState)>,
    /// Runners that work on nothing, in order.
    idle: Order,
    /// Other runners with a free place, in order.
    partly: Order,
    /// All others, in order.
    full: Order,
    sums: Sums,
}

impl Roster {
    pub(super) fn set_engine(&mut self, engine: bool) {
        if std::mem::replace(&mut self.engine, engine) == engine {
            return;
        }
        for name in self.runners.keys().cloned().collect::<Vec<_>>() {
            self.change(&name, |_| ());
        }
    }

    /// A runner joined, or its description changed.
    pub(super) fn up(&mut self, name: RunnerName, slots: u32, leaving: bool) {
        let entry = || (Rank::default(), RunnerState::new(slots));
        self.runners.entry(name.clone()).or_insert_with(entry);
        self.change(&name, |runner| {
            runner.slots = slots;
            runner.leaving = leaving;
        });
        self.sums.at = None;
    }

    pub(super) fn remove(&mut self, name: &RunnerName) {
        if let Some((rank, _)) = self.runners.remove(name) {
            self.unrank(rank, name);
            self.sums.at = None;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        self.runners.iter().map(|(name, (_, runner))| (name, runner))
    }

    /// Changes a runner and its place in the order.
    pub(super) fn change<F, T>(&mut self, name: &RunnerName, change: F) -> Option<T>
    where
        F: FnOnce(&mut RunnerState) -> T,
    {
        let (rank, runner) = self.runners.get_mut(name)?;
        let changed = change(runner);
        let (taken, us) = rank_of(self.engine, runner);
        let before = rank.replace((taken, us));
        if before != Some((taken, us)) {
            self.unrank(before, name);
            self.order(taken).insert((us, name.clone()));
        }
        Some(changed)
    }

    fn unrank(&mut self, rank: Rank, name: &RunnerName) {
        let Some((taken, us)) = rank else { return };
        self.order(taken).remove(&(us, name.clone()));
    }

    fn order(&mut self, taken: Taken) -> &mut Order {
        match taken {
            Taken::Nothing => &mut self.idle,
            Taken::Some => &mut self.partly,
            Taken::All => &mut self.full,
        }
    }

    /// Runners with a free place, the first of the order. Those that work on
    /// nothing have an order of their own: a prompt that would stop the streams
    /// of all others goes there.
    pub(super) fn free(&self, now: MonoTime) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        let first = move |order| {
            self.looked_up(order).filter(move |(_, runner)| runner.has_place(now)).take(LOOK_AT)
        };
        first(&self.idle).chain(first(&self.partly))
    }

    /// Runners without a free place that are sound, the first of the order.
    pub(super) fn full(&self, now: MonoTime) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        self.looked_up(&self.full).filter(move |(_, runner)| runner.is_usable(now)).take(LOOK_AT)
    }

    fn looked_up<'a>(
        &'a self,
        order: &'a Order,
    ) -> impl Iterator<Item = (&'a RunnerName, &'a RunnerState)> {
        let found = |name| self.runners.get(name).map(|(_, runner)| (name, runner));
        order.iter().filter_map(move |(_, name)| found(name))
    }

    /// What is told of all runners together, as of the last look.
    pub(super) fn sums(&self) -> &Sums {
        &self.sums
    }

    /// Sums up over all runners, if the last time is long ago.
    pub(super) fn refresh(&mut self, now: MonoTime) {
        if self.sums.at.is_some_and(|at| now.since(at) < SUMS_AGE) {
            return;
        }
        let mut sums = Sums {
            at: Some(now),
            least_prefill_us: f64::INFINITY,
            least_service_us: f64::INFINITY,
            ..Sums::default()
        };
        let (mut prefill, mut decode, mut service) = (0.0, 0.0, 0.0);
        for (_, runner) in self.runners.values().filter(|(_, runner)| !runner.leaving) {
            let slots = f64::from(runner.slots);
            sums.slots += runner.slots;
            prefill += slots / runner.prefill_us().max(MIN_RATE_US);
            decode += slots / runner.decode_us().max(MIN_RATE_US);
            service += slots / runner.service_us().max(MIN_RATE_US);
            if runner.is_usable(now) {
                sums.least_prefill_us = sums.least_prefill_us.min(runner.prefill_us());
                sums.least_service_us = sums.least_service_us.min(runner.service_us());
            }
        }
        let slots = f64::from(sums.slots.max(1));
        let mean = |speed: f64| if speed > 0.0 { slots / speed } else { 0.0 };
        sums.prefill_us = mean(prefill);
        sums.decode_us = mean(decode);
        sums.service_us = mean(service);
        self.sums = sums;
    }
}

/// Least rate in microseconds, so that no speed is without limit.
const MIN_RATE_US: f64 = 0.01;

fn rank_of(engine: bool, runner: &RunnerState) -> (Taken, u64) {
    let us = if engine {
        let tokens = f64::from(runner.pending_prompt) + USUAL_PROMPT;
        runner.prefill_us() * tokens + WHOLE_WEIGHT * runner.decode_us() * USUAL_LENGTH
    } else {
        runner.service_us() * (1.0 + runner.load())
    };
    let taken = match runner.in_progress() {
        _ if runner.leaving || runner.is_full() => Taken::All,
        0 => Taken::Nothing,
        _ => Taken::Some,
    };
    (taken, us as u64)
}
