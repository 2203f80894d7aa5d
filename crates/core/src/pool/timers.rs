//! Points in time at which the pool has to look at something again.

use std::collections::BTreeSet;

use crate::{ids::RequestId, time::MonoTime};

use super::runner::RunnerIx;

/// What is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// The waiting request can't meet its target any more.
    Unreachable(RequestId),
    /// The entry has not confirmed a grant within its lifetime.
    GrantExpiry(RequestId),
    /// Work of a host that is gone is no longer counted.
    OrphanBound(RequestId),
    /// A request is no longer held for a runner.
    HoldEnds(RequestId),
    /// The runner may have room again.
    Reopen(RunnerIx),
}

/// Timers in order of time. Insertion and removal cost the logarithm of their
/// number.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(MonoTime, Timer)>,
    armed: Option<MonoTime>,
}

impl Timers {
    pub(super) fn set(&mut self, at: MonoTime, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub(super) fn cancel(&mut self, at: MonoTime, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    pub(super) fn pop_due(&mut self, now: MonoTime) -> Option<Timer> {
        let &(at, _) = self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }

    /// The time to wake up at, if it is earlier than what was asked for before.
    pub(super) fn rearm(&mut self, now: MonoTime) -> Option<MonoTime> {
        let &(next, _) = self.due.first()?;
        let pending = self.armed.filter(|&armed| armed > now);
        if pending.is_some_and(|armed| armed <= next) {
            return None;
        }
        self.armed = Some(next);
        Some(next)
    }

    pub(super) fn len(&self) -> usize {
        self.due.len()
    }
}
