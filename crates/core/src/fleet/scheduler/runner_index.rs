//! Index of the runners by expected time to start a request.
//!
//! Built for fleets with thousands of runners: a decision compares a few of them
//! and never scans all. Totals over all runners are recomputed periodically.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::RunnerName, time::MonoTime};

use super::RunnerState;

/// Number of runners of each sorted list that are compared for one request. More
/// do not improve the choice: the lists are already sorted by the expected time
/// of a typical request, and the runner pools of the two reference
/// deployments, 15 runners each, are compared whole.
const MAX_COMPARED: usize = 32;

/// Prompt tokens of a typical request, for the sort order.
const TYPICAL_PROMPT_TOKENS: f64 = 1_500.0;

/// Generated tokens of a typical request, for the sort order.
const TYPICAL_RESPONSE_TOKENS: f64 = 100.0;

/// Weight of the decode time relative to the time to first token: a slot that is
/// released sooner can serve the next request.
pub(super) const DECODE_WEIGHT: f64 = 0.1;

/// Maximum age of the totals over all runners. Rates are means over several
/// requests and change no faster.
const MAX_TOTALS_AGE: Duration = Duration::from_millis(50);

/// Occupancy of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Occupancy {
    /// No request is in progress, so a prompt pauses no stream.
    Idle,
    /// Some slots are free.
    Partial,
    /// No slot is free, or the runner is leaving.
    Full,
}

/// Sort key of a runner: its occupancy and the expected time of a typical
/// request in microseconds. None before the runner is indexed.
type IndexKey = Option<(Occupancy, u64)>;

/// Runners sorted by expected time.
type SortedRunners = BTreeSet<(u64, RunnerName)>;

/// Totals over all runners that are not leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    computed_at: Option<MonoTime>,
    /// Total slots, of limited runners as many as their rates keep in use.
    pub(super) slots: f64,
    /// Mean prefill time of a token over all slots, in microseconds.
    pub(super) prefill_us: f64,
    /// Mean decode time of a token over all slots, in microseconds.
    pub(super) decode_us: f64,
    /// Mean response time of a plain service over all slots, in microseconds.
    pub(super) service_us: f64,
    /// Prefill time of a token at the fastest usable runner, in microseconds.
    pub(super) min_prefill_us: f64,
    /// Response time of a plain service at the fastest usable runner, in
    /// microseconds.
    pub(super) min_service_us: f64,
}

/// The runners of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerIndex {
    engine: bool,
    runners: BTreeMap<RunnerName, (IndexKey, RunnerState)>,
    /// Runners without requests in progress.
    idle: SortedRunners,
    /// Other runners with a free slot.
    partial: SortedRunners,
    /// Runners that are full or leaving.
    full: SortedRunners,
    totals: Totals,
}

impl RunnerIndex {
    pub(super) fn set_engine(&mut self, engine: bool) {
        if std::mem::replace(&mut self.engine, engine) == engine {
            return;
        }
        for name in self.runners.keys().cloned().collect::<Vec<_>>() {
            self.update(&name, |_| ());
        }
    }

    /// Adds a runner or updates its slots and state.
    pub(super) fn set(&mut self, name: RunnerName, slots: u32, leaving: bool) {
        let entry = || (IndexKey::default(), RunnerState::new(slots));
        self.runners.entry(name.clone()).or_insert_with(entry);
        self.update(&name, |runner| {
            runner.slots = slots;
            runner.leaving = leaving;
        });
        self.totals.computed_at = None;
    }

    pub(super) fn remove(&mut self, name: &RunnerName) {
        if let Some((key, _)) = self.runners.remove(name) {
            self.unindex(key, name);
            self.totals.computed_at = None;
        }
    }

    pub(super) fn get(&self, name: &RunnerName) -> Option<&RunnerState> {
        self.runners.get(name).map(|(_, runner)| runner)
    }

    pub(super) fn len(&self) -> usize {
        self.runners.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        self.runners.iter().map(|(name, (_, runner))| (name, runner))
    }

    /// Updates a runner and its position in the index.
    pub(super) fn update<F, T>(&mut self, name: &RunnerName, f: F) -> Option<T>
    where
        F: FnOnce(&mut RunnerState) -> T,
    {
        let (key, runner) = self.runners.get_mut(name)?;
        let result = f(runner);
        let (occupancy, us) = index_key(self.engine, runner);
        let before = key.replace((occupancy, us));
        if before != Some((occupancy, us)) {
            self.unindex(before, name);
            self.list_mut(occupancy).insert((us, name.clone()));
        }
        Some(result)
    }

    fn unindex(&mut self, key: IndexKey, name: &RunnerName) {
        let Some((occupancy, us)) = key else { return };
        self.list_mut(occupancy).remove(&(us, name.clone()));
    }

    fn list_mut(&mut self, occupancy: Occupancy) -> &mut SortedRunners {
        match occupancy {
            Occupancy::Idle => &mut self.idle,
            Occupancy::Partial => &mut self.partial,
            Occupancy::Full => &mut self.full,
        }
    }

    /// Returns the first accepted runners with a free slot. Idle runners are listed
    /// separately, for prompts that would pause the streams of all other runners.
    pub(super) fn free<F>(
        &self,
        now: MonoTime,
        accepts: F,
    ) -> impl Iterator<Item = (&RunnerName, &RunnerState)>
    where
        F: Fn(&RunnerState) -> bool + Copy,
    {
        let first = move |list| {
            self.in_order(list)
                .filter(move |(_, runner)| runner.has_free_slot(now) && accepts(runner))
                .take(MAX_COMPARED)
        };
        first(&self.idle).chain(first(&self.partial))
    }

    /// Returns the first accepted runners that are full but usable.
    pub(super) fn full<F>(
        &self,
        now: MonoTime,
        accepts: F,
    ) -> impl Iterator<Item = (&RunnerName, &RunnerState)>
    where
        F: Fn(&RunnerState) -> bool,
    {
        self.in_order(&self.full)
            .filter(move |(_, runner)| runner.is_usable(now) && accepts(runner))
            .take(MAX_COMPARED)
    }

    fn in_order<'a>(
        &'a self,
        list: &'a SortedRunners,
    ) -> impl Iterator<Item = (&'a RunnerName, &'a RunnerState)> {
        let lookup = |name| self.runners.get(name).map(|(_, runner)| (name, runner));
        list.iter().filter_map(move |(_, name)| lookup(name))
    }

    pub(super) fn set_rate_limit(&mut self, now: MonoTime, name: &RunnerName, per_s: Option<f64>) {
        self.update(name, |runner| runner.set_rate_limit(now, per_s));
        self.totals.computed_at = None;
    }

    /// Returns the totals over all runners as of the last refresh.
    pub(super) fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Recomputes the totals over all runners if they are too old.
    pub(super) fn refresh(&mut self, now: MonoTime) {
        if self.totals.computed_at.is_some_and(|at| now.since(at) < MAX_TOTALS_AGE) {
            return;
        }
        let mut totals = Totals {
            computed_at: Some(now),
            min_prefill_us: f64::INFINITY,
            min_service_us: f64::INFINITY,
            ..Totals::default()
        };
        let (mut prefill, mut decode, mut service) = (0.0, 0.0, 0.0);
        for (_, runner) in self.runners.values().filter(|(_, runner)| !runner.leaving) {
            let slots = runner.usable_slots(typical_us(self.engine, runner));
            totals.slots += slots;
            prefill += slots / runner.prefill_us().max(MIN_RATE_US);
            decode += slots / runner.decode_us().max(MIN_RATE_US);
            service += slots / runner.service_us().max(MIN_RATE_US);
            if runner.is_usable(now) {
                totals.min_prefill_us = totals.min_prefill_us.min(runner.prefill_us());
                totals.min_service_us = totals.min_service_us.min(runner.service_us());
            }
        }
        let mean = |speed: f64| if speed > 0.0 { totals.slots / speed } else { 0.0 };
        (totals.prefill_us, totals.decode_us, totals.service_us) =
            (mean(prefill), mean(decode), mean(service));
        self.totals = totals;
    }
}

/// Returns the expected time of a typical request at a runner, in microseconds.
fn typical_us(engine: bool, runner: &RunnerState) -> f64 {
    match engine {
        true => {
            let prefill_us = runner.prefill_us() * TYPICAL_PROMPT_TOKENS;
            prefill_us + runner.decode_us() * TYPICAL_RESPONSE_TOKENS
        }
        false => runner.service_us(),
    }
}

/// Lower bound on rates in microseconds, so that no speed is infinite.
const MIN_RATE_US: f64 = 0.01;

fn index_key(engine: bool, runner: &RunnerState) -> (Occupancy, u64) {
    let us = if engine {
        let tokens = f64::from(runner.pending_prompt_tokens) + TYPICAL_PROMPT_TOKENS;
        runner.prefill_us() * tokens + DECODE_WEIGHT * runner.decode_us() * TYPICAL_RESPONSE_TOKENS
    } else {
        runner.service_us() * (1.0 + runner.load())
    };
    let occupancy = match runner.in_progress() {
        _ if runner.leaving || runner.is_full() => Occupancy::Full,
        0 => Occupancy::Idle,
        _ => Occupancy::Partial,
    };
    (occupancy, us as u64)
}
