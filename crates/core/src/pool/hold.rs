//! Requests that wait for the runner that has their prefix.
//!
//! While such a runner has no room, a request is taken out of its queue if
//! waiting for the runner costs less time than prefilling the prefix again
//! elsewhere. It returns to its queue when the runner has room, when the runner
//! is no longer usable, or when the expected wait is over.

use std::time::Duration;

use crate::{ids::RequestId, time::MonoTime};

use super::{
    Pool,
    placement::{Choice, Placement},
    request::{Hold, LengthClass, Request},
    runner::{Access, RunnerIx},
    timers::Timer,
};

/// Most requests that are held for one runner.
const MAX_HELD: usize = 8;

/// Requests that return to their queue when their runner has room.
const FREED_AT_ONCE: usize = 2;

/// Factor on the expected wait after which a request returns to its queue.
const HOLD_FACTOR: u32 = 2;

/// Shortest time for which a request is held.
const MIN_HOLD: Duration = Duration::from_millis(20);

impl Pool {
    /// The runner that a request should rather wait for, if there is one.
    pub(super) fn worth_waiting(
        &self,
        now: MonoTime,
        request: &Request,
        choice: &Choice,
    ) -> Option<Placement> {
        let held = choice.held?;
        let same = |open: Placement| open.runner == held.runner && open.uncached == held.uncached;
        if choice.open.is_some_and(|open| same(open) || open.cost <= held.cost) {
            return None;
        }
        let in_time = now + held.expected + held.wait * (HOLD_FACTOR - 1) <= request.deadline;
        let room = self.queues.held_for(held.runner) < MAX_HELD;
        (in_time && room).then_some(held)
    }

    pub(super) fn hold(&mut self, now: MonoTime, id: RequestId, placement: &Placement) {
        let until = now + (placement.wait * HOLD_FACTOR).max(MIN_HOLD);
        self.queues.hold(id, Hold { runner: placement.runner, until });
        self.timers.set(until, Timer::HoldEnds(id));
    }

    /// Puts a held request back into its queue.
    pub(super) fn end_hold(&mut self, id: RequestId) {
        let Some(request) = self.queues.get(id) else { return };
        let Some(hold) = request.hold else { return };
        let record = request.record.clone();
        self.timers.cancel(hold.until, Timer::HoldEnds(id));
        let length = LengthClass::of(self.least_uncached(&record));
        self.queues.end_hold(id, length);
    }

    /// Puts the first requests that are held for a runner back into their queue
    /// if the runner has room, and all of them if it is not usable.
    pub(super) fn free_held(&mut self, now: MonoTime, ix: RunnerIx) {
        let usable = self.runners.get(ix).is_some_and(|runner| runner.is_usable(now));
        let room = |pool: &Self| {
            let runner = pool.runners.get(ix);
            runner.is_some_and(|r| r.has_room(now, Access::Top, LengthClass::Short))
        };
        let count = match (usable, room(self)) {
            (false, _) => MAX_HELD,
            (true, true) => FREED_AT_ONCE,
            (true, false) => 0,
        };
        for _ in 0..count {
            let Some(id) = self.queues.first_held(ix) else { return };
            self.end_hold(id);
        }
    }
}
