//! Delay scheduling: requests deferred for the runner that caches their prefix.
//!
//! A request is taken out of its queue if waiting for that runner is expected
//! to cost less than prefilling the prefix on another one. It returns to its
//! queue when the runner has capacity, when the runner is no longer usable, or
//! after twice the expected wait.

use std::time::Duration;

use crate::{ids::RequestId, time::MonoTime};

use super::{
    Pool,
    placement::{Placement, Placements},
    request::{Deferral, LengthClass, Request},
    runner::{RunnerIx, TierGroup},
    timers::Timer,
};

/// Maximum number of requests deferred for one runner.
const MAX_DEFERRED: usize = 8;

/// Requests that return to their queue at once when their runner has capacity.
const RESUMED_AT_ONCE: usize = 2;

/// Factor on the expected wait after which a request returns to its queue.
const DEFERRAL_FACTOR: u32 = 2;

/// Minimum time for which a request is deferred.
const MIN_DEFERRAL: Duration = Duration::from_millis(20);

impl Pool {
    /// Returns the placement for which the request should be deferred, if any.
    pub(super) fn deferral_target(
        &self,
        now: MonoTime,
        request: &Request,
        placements: &Placements,
    ) -> Option<Placement> {
        let target = placements.with_prefix?;
        let same = |p: Placement| p.runner == target.runner && p.uncached == target.uncached;
        if placements.with_capacity.is_some_and(|p| same(p) || p.cost <= target.cost) {
            return None;
        }
        let in_time =
            now + target.time_to_target + target.wait * (DEFERRAL_FACTOR - 1) <= request.deadline;
        let below_limit = self.queues.deferred_count(target.runner) < MAX_DEFERRED;
        (in_time && below_limit).then_some(target)
    }

    pub(super) fn defer(&mut self, now: MonoTime, id: RequestId, placement: &Placement) {
        let until = now + (placement.wait * DEFERRAL_FACTOR).max(MIN_DEFERRAL);
        self.queues.defer(id, Deferral { runner: placement.runner, until });
        self.timers.set(until, Timer::DeferralExpiry(id));
    }

    /// Puts a deferred request back into its queue.
    pub(super) fn end_deferral(&mut self, id: RequestId) {
        let Some(request) = self.queues.get(id) else { return };
        let Some(deferral) = request.deferral else { return };
        let record = request.record.clone();
        self.timers.cancel(deferral.until, Timer::DeferralExpiry(id));
        let length = LengthClass::of(self.min_uncached_tokens(&record));
        self.queues.end_deferral(id, length);
    }

    /// Puts the first requests deferred for a runner back into their queue if
    /// the runner has capacity, and all of them if it is not usable.
    pub(super) fn resume_deferred(&mut self, now: MonoTime, ix: RunnerIx) {
        let usable = self.runners.get(ix).is_some_and(|runner| runner.is_usable(now));
        let has_capacity = |pool: &Self| {
            let runner = pool.runners.get(ix);
            runner.is_some_and(|r| r.has_capacity(now, TierGroup::Top, LengthClass::Short))
        };
        let count = match (usable, has_capacity(self)) {
            (false, _) => MAX_DEFERRED,
            (true, true) => RESUMED_AT_ONCE,
            (true, false) => 0,
        };
        for _ in 0..count {
            let Some(id) = self.queues.first_deferred(ix) else { return };
            self.end_deferral(id);
        }
    }
}
