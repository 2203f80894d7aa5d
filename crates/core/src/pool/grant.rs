//! Grants: selects the next waiting request and its runner.

use std::time::Duration;

use crate::{
    ids::{RequestId, Tier},
    outcome::NotRunReason,
    request::Grant,
    time::MonoTime,
};

use super::{
    Pool, PoolAction,
    active_request::{ActiveRequest, Progress},
    placement::{Placement, best_placements},
    prefix::BlockState,
    request::{LengthClass, Request},
    runner::{PendingPrefill, RunnerIx, TierGroup},
    state::MIN_RETRY_AFTER,
    timers::Timer,
};

/// Time after a grant's lifetime until an unconfirmed grant is reclaimed.
pub(super) const GRANT_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Minimum margin to the target: the expected time divided by this.
const TARGET_MARGIN_DIVISOR: u32 = 6;

/// The tier that may use the reserved capacity.
const TOP_TIER: Tier = Tier(0);

/// Runners whose ordering is refreshed when no candidate has capacity.
const MAX_REFRESHED_RUNNERS: usize = 16;

impl Pool {
    /// Grants waiting requests while a runner has capacity.
    pub(super) fn grant_all(&mut self, now: MonoTime, out: &mut Vec<PoolAction>) {
        while let Some((id, group)) = self.next_request() {
            self.try_grant(now, id, group, out);
        }
    }

    /// Returns the first request, by tier and latest start, for which a runner
    /// has capacity.
    fn next_request(&self) -> Option<(RequestId, TierGroup)> {
        let mut best: Option<(Tier, MonoTime, RequestId, TierGroup)> = None;
        for (tier, length, queue) in self.queues.iter() {
            if best.is_some_and(|(found, ..)| found < tier) {
                break;
            }
            let group = tier_group_of(tier);
            let Some((start, id)) = queue.fair.first() else { continue };
            let earlier = best.is_none_or(|(_, found, ..)| start < found);
            if earlier && self.runners.any_with_capacity(group, length) {
                best = Some((tier, start, id, group));
            }
        }
        best.map(|(_, _, id, group)| (id, group))
    }

    fn try_grant(
        &mut self,
        now: MonoTime,
        id: RequestId,
        group: TierGroup,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(request) = self.queues.get(id) else { return };
        let length = request.length;
        self.prefixes.look_up(&request.record, &mut self.prefix_hits);
        let placements = best_placements(now, &self.runners, request, group, &self.prefix_hits);
        if let Some(target) = self.deferral_target(now, request, &placements) {
            self.defer(now, id, &target);
            return;
        }
        let Some(placement) = placements.with_capacity else {
            self.handle_no_capacity(now, id, group, length);
            return;
        };
        if self.would_miss_target(now, request, &placement, group) {
            if let Some(request) = self.drop_waiting(id) {
                self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            }
            return;
        }
        self.timers.cancel(request.unreachable_at, Timer::Unreachable(id));
        if let Some(request) = self.queues.remove_for_grant(id) {
            self.grant(now, request, &placement, out);
        }
    }

    /// Returns whether the best runner would probably miss the target, which
    /// would waste its prefill. The top tier is granted as long as any runner
    /// could still meet the target.
    fn would_miss_target(
        &self,
        now: MonoTime,
        request: &Request,
        placement: &Placement,
        group: TierGroup,
    ) -> bool {
        if group == TierGroup::Top {
            return false;
        }
        let margin_ms = self.counters.first_token_error_ms.error;
        let margin = Duration::from_micros((margin_ms * 1e3) as u64);
        let margin = margin.max(placement.time_to_target / TARGET_MARGIN_DIVISOR);
        now + placement.time_to_target + margin > request.deadline
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
        let is_engine = runner.spec.engine;
        let valid_for = self.settings.grant_lifetime;
        let grant = Grant { id, runner: name, epoch: self.settings.epoch, valid_for };
        out.push(PoolAction::Grant { entry: request.record.entry.clone(), grant });
        if is_engine {
            let tokens = placement.uncached;
            let length = LengthClass::of(tokens);
            runner.push_prefill(now, PendingPrefill { id, tokens, length, granted_at: now });
            self.runners.count_long_prefill(length, true);
            self.prefixes.record_prompt(
                now,
                &request.record,
                placement.runner,
                BlockState::Pending,
            );
        }
        if let Some(queue) = self.queues.queue_mut(request.record.tier, request.length) {
            queue.grant_rate.add(now, request.work());
        }
        self.counters.granted += 1;
        let cached = request.record.prefill_tokens - placement.uncached;
        self.counters.expected_cached_tokens += u64::from(cached);
        self.retry_budget.deposit();
        let expiry = now + valid_for + GRANT_EXPIRY_MARGIN;
        let timer = Some((expiry, Timer::GrantExpiry(id)));
        let progress = Progress::Granted;
        self.start_request(
            now,
            request,
            Some(placement.runner),
            progress,
            timer,
            placement.first_token,
        );
    }

    /// Counts a request as in progress at its runner.
    pub(super) fn start_request(
        &mut self,
        now: MonoTime,
        request: Box<Request>,
        runner: Option<RunnerIx>,
        progress: Progress,
        timer: Option<(MonoTime, Timer)>,
        expected_first_token: Duration,
    ) {
        let mut sequences_at_grant = 0;
        if let Some(runner) = runner.and_then(|ix| self.runners.get_mut(ix)) {
            runner.in_progress += 1;
            runner.cache_tokens += request.cache_tokens();
            runner.external_load.record_own(now, runner.in_progress);
            sequences_at_grant = runner.load();
        }
        if let Some((at, timer)) = timer {
            self.timers.set(at, timer);
        }
        let id = request.record.id;
        let active = ActiveRequest {
            request,
            runner,
            progress,
            granted_at: now,
            timer,
            expected_first_token,
            sequences_at_grant,
        };
        self.active_requests.insert(id, active);
        if let Some(ix) = runner {
            self.refresh(now, ix);
        }
    }

    /// Handles the first request of a queue if no candidate has capacity for
    /// it. A request that was queued as short because of its cached prefix
    /// moves to the queue of its full prompt length.
    fn handle_no_capacity(
        &mut self,
        now: MonoTime,
        id: RequestId,
        group: TierGroup,
        length: LengthClass,
    ) {
        let Some(request) = self.queues.get(id) else { return };
        let full_length = LengthClass::of(request.record.prefill_tokens);
        if full_length != length {
            self.queues.change_length_class(id, full_length);
            return;
        }
        self.refresh_with_capacity(now, group, length);
    }

    /// Refreshes runners that are listed with capacity, since some of them have
    /// none now.
    fn refresh_with_capacity(&mut self, now: MonoTime, group: TierGroup, length: LengthClass) {
        let with_capacity = self.runners.with_capacity(group, length).take(MAX_REFRESHED_RUNNERS);
        let stale: Vec<RunnerIx> = with_capacity.collect();
        for ix in stale {
            self.refresh(now, ix);
        }
    }
}

/// Returns the group of a tier, which determines whether it may use the
/// reserved capacity.
pub(super) fn tier_group_of(tier: Tier) -> TierGroup {
    if tier == TOP_TIER { TierGroup::Top } else { TierGroup::Lower }
}
