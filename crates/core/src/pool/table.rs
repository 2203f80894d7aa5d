//! The pool's runners and the order in which they are tried.
//!
//! Four ordered sets hold the runners that have room: for the top tier and for
//! the others, each for short and for long prompts. A decision looks at the
//! first few of one set only, so its cost does not grow with the pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ids::RunnerName, time::MonoTime};

use super::{
    request::LengthClass,
    runner::{Access, Runner, RunnerIx, RunnerSpec},
    timers::{Timer, Timers},
};

/// Prompt length by which runners are ordered for short prompts.
const SHORT_REFERENCE_TOKENS: u64 = 512;

/// Prompt length by which runners are ordered for long prompts.
const LONG_REFERENCE_TOKENS: u64 = 16_384;

/// Sequence slots of an idle runner are worth this much time in the order, in
/// microseconds per full runner.
const FULL_RUNNER_US: f64 = 50_000.0;

/// Position of a runner in one ordered set.
type OpenKey = (u64, RunnerIx);

/// A runner with its positions in the ordered sets.
#[derive(Debug)]
struct Slot {
    runner: Runner,
    keys: [Option<u64>; 4],
    speed: Option<u64>,
    reopen: Option<MonoTime>,
    gone: bool,
}

/// Runners by position and by name.
#[derive(Debug, Default)]
pub(super) struct RunnerTable {
    slots: Vec<Option<Slot>>,
    free: Vec<RunnerIx>,
    names: BTreeMap<RunnerName, RunnerIx>,
    open: [BTreeSet<OpenKey>; 4],
    /// Runners that may get work, the fastest first.
    by_speed: BTreeSet<OpenKey>,
    long_runners: usize,
}

impl RunnerTable {
    /// Adds a runner, or replaces the description of a known one.
    pub(super) fn up(&mut self, spec: RunnerSpec) -> RunnerIx {
        if let Some(ix) = self.find(&spec.name) {
            if let Some(runner) = self.get_mut(ix) {
                runner.leaving = spec.leaving;
                runner.spec = spec;
            }
            return ix;
        }
        let name = spec.name.clone();
        let slot = Slot {
            runner: Runner::new(spec),
            keys: [None; 4],
            speed: None,
            reopen: None,
            gone: false,
        };
        let ix = self.free.pop().unwrap_or(RunnerIx(self.slots.len() as u32));
        match self.slots.get_mut(ix.0 as usize) {
            Some(free) => *free = Some(slot),
            None => self.slots.push(Some(slot)),
        }
        self.names.insert(name, ix);
        ix
    }

    /// Takes a runner out of use. Its position is reused once its last request
    /// has ended.
    pub(super) fn remove(&mut self, now: MonoTime, name: &RunnerName, timers: &mut Timers) {
        let Some(ix) = self.names.remove(name) else { return };
        if let Some(slot) = self.slot_mut(ix) {
            slot.gone = true;
            slot.runner.leaving = true;
        }
        self.refresh(now, ix, timers);
    }

    pub(super) fn find(&self, name: &RunnerName) -> Option<RunnerIx> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, ix: RunnerIx) -> Option<&Runner> {
        self.slots.get(ix.0 as usize)?.as_ref().map(|slot| &slot.runner)
    }

    pub(super) fn get_mut(&mut self, ix: RunnerIx) -> Option<&mut Runner> {
        self.slot_mut(ix).map(|slot| &mut slot.runner)
    }

    /// Known runners in order of name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.names.values().filter_map(|&ix| self.get(ix))
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Runners with room, the least loaded first.
    pub(super) fn open(
        &self,
        access: Access,
        length: LengthClass,
    ) -> impl Iterator<Item = RunnerIx> {
        self.open[set_of(access, length)].iter().map(|&(_, ix)| ix)
    }

    /// The runner with the shortest service time when idle.
    pub(super) fn fastest(&self) -> Option<&Runner> {
        self.by_speed.first().and_then(|&(_, ix)| self.get(ix))
    }

    /// True if a runner has room.
    pub(super) fn has_open(&self, access: Access, length: LengthClass) -> bool {
        self.admits(access, length) && !self.open[set_of(access, length)].is_empty()
    }

    /// False if lower tiers have to leave the remaining runners free of long
    /// prefill.
    pub(super) fn admits(&self, access: Access, length: LengthClass) -> bool {
        access == Access::Top || length == LengthClass::Short || !self.long_is_capped()
    }

    /// Brings the ordered sets and the reopen timer up to date with a runner's
    /// state.
    pub(super) fn refresh(&mut self, now: MonoTime, ix: RunnerIx, timers: &mut Timers) {
        let Some(Some(slot)) = self.slots.get_mut(ix.0 as usize) else { return };
        let runner = &slot.runner;
        for (access, length) in SETS {
            let set = set_of(access, length);
            let key = runner.has_room(now, access, length).then(|| order_key(now, runner, length));
            if key == slot.keys[set] {
                continue;
            }
            if let Some(old) = std::mem::replace(&mut slot.keys[set], key) {
                self.open[set].remove(&(old, ix));
            }
            if let Some(new) = key {
                self.open[set].insert((new, ix));
            }
        }
        let speed = (!runner.leaving).then(|| reference_us(runner, LengthClass::Short));
        if speed != slot.speed {
            if let Some(old) = std::mem::replace(&mut slot.speed, speed) {
                self.by_speed.remove(&(old, ix));
            }
            if let Some(new) = speed {
                self.by_speed.insert((new, ix));
            }
        }
        let paused = (runner.paused_until > now).then_some(runner.paused_until);
        // A runner that is gone gets no more work, so nothing waits for it.
        let reopen = runner.reopens_at(now).max(paused).filter(|_| !slot.gone);
        if reopen != slot.reopen {
            if let Some(old) = std::mem::replace(&mut slot.reopen, reopen) {
                timers.cancel(old, Timer::Reopen(ix));
            }
            if let Some(new) = reopen {
                timers.set(new, Timer::Reopen(ix));
            }
        }
        if slot.gone && slot.runner.in_progress == 0 {
            self.slots[ix.0 as usize] = None;
            self.free.push(ix);
        }
    }

    /// Counts a runner that starts or ends a long prefill.
    pub(super) fn count_long(&mut self, length: LengthClass, started: bool) {
        if length == LengthClass::Short {
            return;
        }
        if started {
            self.long_runners += 1;
        } else {
            self.long_runners = self.long_runners.saturating_sub(1);
        }
    }

    fn long_is_capped(&self) -> bool {
        let reserve = self.len().div_ceil(LONG_FREE_DIVISOR);
        self.long_runners >= self.len().saturating_sub(reserve).max(1)
    }

    fn slot_mut(&mut self, ix: RunnerIx) -> Option<&mut Slot> {
        self.slots.get_mut(ix.0 as usize)?.as_mut()
    }
}

/// One in so many runners stays free of the lower tiers' long prefill.
const LONG_FREE_DIVISOR: usize = 6;

const SETS: [(Access, LengthClass); 4] = [
    (Access::Top, LengthClass::Short),
    (Access::Top, LengthClass::Long),
    (Access::Lower, LengthClass::Short),
    (Access::Lower, LengthClass::Long),
];

fn set_of(access: Access, length: LengthClass) -> usize {
    let row = match access {
        Access::Top => 0,
        Access::Lower => 2,
    };
    row + usize::from(length == LengthClass::Long)
}

/// Time in microseconds at which a prompt of the reference length would be
/// prefilled; without pending prompts, only the time that it takes.
fn order_key(now: MonoTime, runner: &Runner, length: LengthClass) -> u64 {
    let share = f64::from(runner.load()) / f64::from(runner.limit.sequences().max(1));
    let crowding = (share * FULL_RUNNER_US) as u64;
    if !runner.spec.engine {
        return crowding + (runner.rates.service_us() as f64 * (1.0 + share)) as u64;
    }
    let start = if runner.pending.is_empty() { 0 } else { runner.free_at.max(now).as_micros() };
    start + reference_us(runner, length) + crowding
}

/// Time of an idle runner for a request of the reference length, in
/// microseconds.
fn reference_us(runner: &Runner, length: LengthClass) -> u64 {
    if !runner.spec.engine {
        return runner.rates.service_us();
    }
    match length {
        LengthClass::Short => runner.rates.prefill_us(SHORT_REFERENCE_TOKENS),
        LengthClass::Long => runner.rates.prefill_us(LONG_REFERENCE_TOKENS),
    }
}
