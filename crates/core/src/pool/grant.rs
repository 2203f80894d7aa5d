//! Grants: which waiting request goes next, and where.

use std::time::Duration;

use crate::{
    ids::{RequestId, Tier},
    outcome::NotRunReason,
    request::Grant,
    time::MonoTime,
};

use super::{
    Pool, PoolAction,
    flight::{Flight, Progress},
    placement::{Placement, choose},
    prefix::Stage,
    request::{LengthClass, Request},
    runner::{Access, PendingPrefill, RunnerIx},
    state::MIN_RETRY_AFTER,
    timers::Timer,
};

/// Time after a grant's lifetime at which an unconfirmed grant is taken back.
pub(super) const GRANT_MARGIN: Duration = Duration::from_millis(500);

/// Least margin of an expected time against its target: one part in so many.
const MARGIN_DIVISOR: u32 = 6;

/// The tier that may use the capacity that is kept free.
const TOP_TIER: Tier = Tier(0);

/// Runners whose position is checked when none of the candidates has room.
const RECHECKED_RUNNERS: usize = 16;

impl Pool {
    /// Grants as long as a waiting request finds a runner with room.
    pub(super) fn grant_all(&mut self, now: MonoTime, out: &mut Vec<PoolAction>) {
        while let Some((id, access)) = self.next_request() {
            self.try_grant(now, id, access, out);
        }
    }

    /// The first request, by tier and slack, for which a runner has room.
    fn next_request(&self) -> Option<(RequestId, Access)> {
        let mut best: Option<(Tier, MonoTime, RequestId, Access)> = None;
        for (tier, length, queue) in self.queues.iter() {
            if best.is_some_and(|(found, ..)| found < tier) {
                break;
            }
            let access = access_of(tier);
            let Some((start, id)) = queue.fair.first() else { continue };
            let earlier = best.is_none_or(|(_, found, ..)| start < found);
            if earlier && self.runners.has_open(access, length) {
                best = Some((tier, start, id, access));
            }
        }
        best.map(|(_, _, id, access)| (id, access))
    }

    fn try_grant(
        &mut self,
        now: MonoTime,
        id: RequestId,
        access: Access,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(request) = self.queues.get(id) else { return };
        let length = request.length;
        self.prefixes.lookup(&request.record, &mut self.hits);
        let choice = choose(now, &self.runners, request, access, &self.hits);
        if let Some(held) = self.worth_waiting(now, request, &choice) {
            self.hold(now, id, &held);
            return;
        }
        let Some(placement) = choice.open else {
            self.no_room(now, id, access, length);
            return;
        };
        if self.is_too_late(now, request, &placement, access) {
            if let Some(request) = self.drop_waiting(id) {
                self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            }
            return;
        }
        self.timers.cancel(request.unreachable_at, Timer::Unreachable(id));
        if let Some(request) = self.queues.grant(id) {
            self.grant(now, request, &placement, out);
        }
    }

    /// True if the best runner would probably miss the target, so that its
    /// prefill would be wasted. The top tier is sent while any runner could
    /// still make it.
    fn is_too_late(
        &self,
        now: MonoTime,
        request: &Request,
        placement: &Placement,
        access: Access,
    ) -> bool {
        if access == Access::Top {
            return false;
        }
        let margin_ms = self.counters.first_token_error_ms.error;
        let margin = Duration::from_micros((margin_ms * 1e3) as u64);
        let margin = margin.max(placement.expected / MARGIN_DIVISOR);
        now + placement.expected + margin > request.deadline
    }

    fn grant(
        &mut self,
        now: MonoTime,
        request: Box<Request>,
        placement: &Placement,
        out: &mut Vec<PoolAction>,
    ) {
        let id = request.record.id;
        let Some(runner) = self.runners.get_mut(placement.runner) else { return };
        let name = runner.spec.name.clone();
        let engine = runner.spec.engine;
        let valid_for = self.settings.grant_lifetime;
        let grant = Grant { id, runner: name, epoch: self.settings.epoch, valid_for };
        out.push(PoolAction::Grant { entry: request.record.entry.clone(), grant });
        if engine {
            let tokens = placement.uncached;
            let length = LengthClass::of(tokens);
            runner.push_prefill(now, PendingPrefill { id, tokens, length, granted: now });
            self.runners.count_long(length, true);
            self.prefixes.note(now, &request.record, placement.runner, Stage::Coming);
        }
        if let Some(queue) = self.queues.queue_mut(request.record.tier, request.length) {
            queue.drain.add(now, request.work());
        }
        self.counters.granted += 1;
        let cached = request.record.prefill_tokens - placement.uncached;
        self.counters.expected_cached_tokens += u64::from(cached);
        self.budget.earn();
        let expiry = now + valid_for + GRANT_MARGIN;
        let timer = Some((expiry, Timer::GrantExpiry(id)));
        let progress = Progress::Granted;
        self.start_flight(now, request, Some(placement.runner), progress, timer, placement.first);
    }

    /// Counts a request as in progress at its runner.
    pub(super) fn start_flight(
        &mut self,
        now: MonoTime,
        request: Box<Request>,
        runner: Option<RunnerIx>,
        progress: Progress,
        timer: Option<(MonoTime, Timer)>,
        expected: Duration,
    ) {
        let mut sequences = 0;
        if let Some(runner) = runner.and_then(|ix| self.runners.get_mut(ix)) {
            runner.in_progress += 1;
            runner.tokens += request.cache_tokens();
            runner.foreign.note_own(now, runner.in_progress);
            sequences = runner.load();
        }
        if let Some((at, timer)) = timer {
            self.timers.set(at, timer);
        }
        let id = request.record.id;
        let flight = Flight { request, runner, progress, granted: now, timer, expected, sequences };
        self.flights.insert(id, flight);
        if let Some(ix) = runner {
            self.refresh(now, ix);
        }
    }

    /// A request was first in its queue, but no candidate has room for it.
    fn no_room(&mut self, now: MonoTime, id: RequestId, access: Access, length: LengthClass) {
        let Some(request) = self.queues.get(id) else { return };
        let own = LengthClass::of(request.record.prefill_tokens);
        if own != length {
            self.queues.refile(id, own);
            return;
        }
        self.recheck(now, access, length);
    }

    /// Updates runners that were ordered as having room, but have none now.
    fn recheck(&mut self, now: MonoTime, access: Access, length: LengthClass) {
        let open = self.runners.open(access, length).take(RECHECKED_RUNNERS);
        let stale: Vec<RunnerIx> = open.collect();
        for ix in stale {
            self.refresh(now, ix);
        }
    }
}

/// Whether a tier may use the capacity that is kept free.
pub(super) fn access_of(tier: Tier) -> Access {
    if tier == TOP_TIER { Access::Top } else { Access::Lower }
}
