//! Runners of the pool and the order in which they are considered.
//!
//! Four ordered sets hold the runners with capacity: for the top tier and for
//! the other tiers, each for short and for long prompts. A decision only
//! considers the first few runners of one set, so its cost doesn't grow with
//! the pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ids::RunnerName, time::MonoTime};

use super::{
    request::LengthClass,
    runner::{Runner, RunnerIx, RunnerSpec, TierGroup},
    timers::{Timer, Timers},
};

/// Prompt length by which runners are ordered for short prompts.
const SHORT_REFERENCE_TOKENS: u64 = 512;

/// Prompt length by which runners are ordered for long prompts.
const LONG_REFERENCE_TOKENS: u64 = 16_384;

/// Additional cost of a full runner over an idle one in the order of the
/// runners, in microseconds.
const FULL_LOAD_COST_US: f64 = 50_000.0;

/// Key of a runner in one ordered set.
type OrderKey = (u64, RunnerIx);

/// A runner with its keys in the ordered sets.
#[derive(Debug)]
struct Row {
    runner: Runner,
    order_keys: [Option<u64>; 4],
    speed_key: Option<u64>,
    capacity_check_at: Option<MonoTime>,
    removed: bool,
}

/// Runners by index and by name.
#[derive(Debug, Default)]
pub(super) struct RunnerTable {
    rows: Vec<Option<Row>>,
    free_indices: Vec<RunnerIx>,
    names: BTreeMap<RunnerName, RunnerIx>,
    /// Runners with capacity for each tier group and length class.
    with_capacity: [BTreeSet<OrderKey>; 4],
    /// Runners that are not leaving, the fastest first.
    by_speed: BTreeSet<OrderKey>,
    long_prefill_runners: usize,
}

impl RunnerTable {
    /// Adds a runner or replaces the description of a known one.
    pub(super) fn upsert(&mut self, spec: RunnerSpec) -> RunnerIx {
        if let Some(ix) = self.find(&spec.name) {
            if let Some(runner) = self.get_mut(ix) {
                runner.leaving = spec.leaving;
                runner.spec = spec;
            }
            return ix;
        }
        let name = spec.name.clone();
        let row = Row {
            runner: Runner::new(spec),
            order_keys: [None; 4],
            speed_key: None,
            capacity_check_at: None,
            removed: false,
        };
        let ix = self.free_indices.pop().unwrap_or(RunnerIx(self.rows.len() as u32));
        match self.rows.get_mut(ix.0 as usize) {
            Some(vacant) => *vacant = Some(row),
            None => self.rows.push(Some(row)),
        }
        self.names.insert(name, ix);
        ix
    }

    /// Removes a runner. Its index is reused once its last request has ended.
    pub(super) fn remove(&mut self, now: MonoTime, name: &RunnerName, timers: &mut Timers) {
        let Some(ix) = self.names.remove(name) else { return };
        if let Some(row) = self.row_mut(ix) {
            row.removed = true;
            row.runner.leaving = true;
        }
        self.refresh(now, ix, timers);
    }

    pub(super) fn find(&self, name: &RunnerName) -> Option<RunnerIx> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, ix: RunnerIx) -> Option<&Runner> {
        self.rows.get(ix.0 as usize)?.as_ref().map(|row| &row.runner)
    }

    pub(super) fn get_mut(&mut self, ix: RunnerIx) -> Option<&mut Runner> {
        self.row_mut(ix).map(|row| &mut row.runner)
    }

    /// Iterates over the known runners in order of name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.names.values().filter_map(|&ix| self.get(ix))
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Iterates over the runners with capacity in order of their expected time
    /// for a prompt and their load.
    pub(super) fn with_capacity(
        &self,
        group: TierGroup,
        length: LengthClass,
    ) -> impl Iterator<Item = RunnerIx> {
        self.with_capacity[set_index(group, length)].iter().map(|&(_, ix)| ix)
    }

    /// Returns the runner with the shortest service time when idle.
    pub(super) fn fastest(&self) -> Option<&Runner> {
        self.by_speed.first().and_then(|&(_, ix)| self.get(ix))
    }

    /// Returns whether any runner with capacity may get a request of this length
    /// class.
    pub(super) fn any_with_capacity(&self, group: TierGroup, length: LengthClass) -> bool {
        self.permits(group, length) && !self.with_capacity[set_index(group, length)].is_empty()
    }

    /// Returns whether a request may be granted under the limit on runners with
    /// long prefills, which applies to long prompts of lower tiers.
    pub(super) fn permits(&self, group: TierGroup, length: LengthClass) -> bool {
        group == TierGroup::Top || length == LengthClass::Short || !self.long_prefill_is_capped()
    }

    /// Updates the ordered sets and the timer of a runner from its state.
    /// Deletes a removed runner once its last request has ended.
    pub(super) fn refresh(&mut self, now: MonoTime, ix: RunnerIx, timers: &mut Timers) {
        let Some(Some(row)) = self.rows.get_mut(ix.0 as usize) else { return };
        let runner = &row.runner;
        for (group, length) in ORDERED_SETS {
            let set = set_index(group, length);
            let key =
                runner.has_capacity(now, group, length).then(|| order_key(now, runner, length));
            if key == row.order_keys[set] {
                continue;
            }
            if let Some(old) = std::mem::replace(&mut row.order_keys[set], key) {
                self.with_capacity[set].remove(&(old, ix));
            }
            if let Some(new) = key {
                self.with_capacity[set].insert((new, ix));
            }
        }
        let speed_key = (!runner.leaving).then(|| reference_us(runner, LengthClass::Short));
        if speed_key != row.speed_key {
            if let Some(old) = std::mem::replace(&mut row.speed_key, speed_key) {
                self.by_speed.remove(&(old, ix));
            }
            if let Some(new) = speed_key {
                self.by_speed.insert((new, ix));
            }
        }
        let paused = (runner.paused_until > now).then_some(runner.paused_until);
        // A removed runner gets no more requests, so it needs no timer.
        let check_at = runner.capacity_at(now).max(paused).filter(|_| !row.removed);
        if check_at != row.capacity_check_at {
            if let Some(old) = std::mem::replace(&mut row.capacity_check_at, check_at) {
                timers.cancel(old, Timer::CapacityCheck(ix));
            }
            if let Some(new) = check_at {
                timers.set(new, Timer::CapacityCheck(ix));
            }
        }
        if row.removed && row.runner.in_progress == 0 {
            self.rows[ix.0 as usize] = None;
            self.free_indices.push(ix);
        }
    }

    /// Updates the number of runners with a long prefill when a prefill starts
    /// or ends.
    pub(super) fn count_long_prefill(&mut self, length: LengthClass, started: bool) {
        if length == LengthClass::Short {
            return;
        }
        if started {
            self.long_prefill_runners += 1;
        } else {
            self.long_prefill_runners = self.long_prefill_runners.saturating_sub(1);
        }
    }

    fn long_prefill_is_capped(&self) -> bool {
        let reserve = self.len().div_ceil(LONG_PREFILL_RESERVE_DIVISOR);
        self.long_prefill_runners >= self.len().saturating_sub(reserve).max(1)
    }

    fn row_mut(&mut self, ix: RunnerIx) -> Option<&mut Row> {
        self.rows.get_mut(ix.0 as usize)?.as_mut()
    }
}

/// One in this many runners is reserved: it gets no long prefill of lower
/// tiers.
const LONG_PREFILL_RESERVE_DIVISOR: usize = 6;

const ORDERED_SETS: [(TierGroup, LengthClass); 4] = [
    (TierGroup::Top, LengthClass::Short),
    (TierGroup::Top, LengthClass::Long),
    (TierGroup::Lower, LengthClass::Short),
    (TierGroup::Lower, LengthClass::Long),
];

fn set_index(group: TierGroup, length: LengthClass) -> usize {
    let offset = match group {
        TierGroup::Top => 0,
        TierGroup::Lower => 2,
    };
    offset + usize::from(length == LengthClass::Long)
}

/// Returns the time in microseconds at which a prompt of the reference length
/// would be prefilled, plus the cost of the load. Without pending prompts, the
/// time is the duration of the prefill only.
fn order_key(now: MonoTime, runner: &Runner, length: LengthClass) -> u64 {
    let load_share = f64::from(runner.load()) / f64::from(runner.limits.sequences().max(1));
    let load_cost = (load_share * FULL_LOAD_COST_US) as u64;
    if !runner.spec.engine {
        return load_cost + (runner.rates.service_us() as f64 * (1.0 + load_share)) as u64;
    }
    let start = if runner.pending_prefills.is_empty() {
        0
    } else {
        runner.prefill_done_at.max(now).as_micros()
    };
    start + reference_us(runner, length) + load_cost
}

/// Returns the time that an idle runner needs for a prompt of the reference
/// length, in microseconds.
fn reference_us(runner: &Runner, length: LengthClass) -> u64 {
    if !runner.spec.engine {
        return runner.rates.service_us();
    }
    match length {
        LengthClass::Short => runner.rates.prefill_us(SHORT_REFERENCE_TOKENS),
        LengthClass::Long => runner.rates.prefill_us(LONG_REFERENCE_TOKENS),
    }
}
