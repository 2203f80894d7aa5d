//! Timers of a pool.

use std::collections::BTreeSet;

use crate::{ids::RequestId, time::MonoTime};

use super::runner::RunnerIx;

/// Event that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A waiting request can no longer meet its target.
    Unreachable(RequestId),
    /// An entry has not confirmed a grant within its lifetime.
    GrantExpiry(RequestId),
    /// A granted request of an entry that is down no longer counts as load.
    OrphanExpiry(RequestId),
    /// The deferral of a request ends.
    DeferralExpiry(RequestId),
    /// A runner may have capacity again.
    CapacityCheck(RunnerIx),
}

/// Timers in order of time. Insertion and removal take logarithmic time.
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

    /// Returns the next wake-up time if the caller has to set an earlier timer.
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
