//! Reports of entries on granted requests, and load reports of runners.

use std::time::Duration;

use crate::{
    ids::{RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::{DispatchEnd, RequestRecord, Usage},
    time::MonoTime,
};

use super::{
    Pool, PoolAction,
    active_request::{ActiveRequest, Progress},
    input::LoadReport,
    prefix::BlockState,
    request::Request,
    runner::RunnerIx,
    state::MIN_RETRY_AFTER,
};

/// Maximum number of unused grants of one request.
const MAX_RETURNED_GRANTS: u8 = 8;

/// Minimum number of generated tokens from which a time between tokens is
/// learned.
const MIN_DECODE_SAMPLE: u32 = 8;

/// Share of the tightest target between tokens that limits aim for.
const TARGET_SHARE: f64 = 0.9;

impl Pool {
    pub(super) fn withdraw(&mut self, now: MonoTime, id: RequestId) {
        if self.drop_waiting(id).is_none() {
            self.release(now, id);
        }
    }

    pub(super) fn dispatched(&mut self, id: RequestId) {
        let Some(active) = self.active_requests.get_mut(&id) else { return };
        if active.progress != Progress::Granted {
            return;
        }
        active.progress = Progress::Dispatched;
        if let Some((at, timer)) = active.timer.take() {
            self.timers.cancel(at, timer);
        }
    }

    pub(super) fn first_token(&mut self, now: MonoTime, id: RequestId) {
        self.dispatched(id);
        let Some(active) = self.active_requests.get_mut(&id) else { return };
        if active.progress == Progress::Responding {
            return;
        }
        active.progress = Progress::Responding;
        let elapsed = now.since(active.granted_at);
        let expected = active.expected_first_token;
        let Some(ix) = active.runner else { return };
        let Some(runner) = self.runners.get_mut(ix) else { return };
        if let Some(prefill) = runner.remove_prefill(now, id) {
            runner.observe_first_token(now, &prefill);
            self.prefixes.record_prompt(now, &active.request.record, ix, BlockState::Cached);
            self.runners.count_long_prefill(prefill.length, false);
            let error_ms = elapsed.as_secs_f64() * 1e3 - expected.as_secs_f64() * 1e3;
            self.counters.first_token_error_ms.observe(error_ms);
        }
        self.adapt_limits(now, ix);
        self.refresh(now, ix);
        self.resume_deferred(now, ix);
    }

    pub(super) fn ended(&mut self, now: MonoTime, id: RequestId, end: DispatchEnd) {
        let Some(active) = self.end_request(now, id) else {
            self.drop_waiting(id);
            return;
        };
        match end {
            DispatchEnd::Complete(usage) => {
                self.counters.completed += 1;
                self.observe_usage(now, &active, &usage);
            }
            DispatchEnd::Failed => {
                self.counters.failed_or_cancelled += 1;
                self.pause_runner(now, active.runner);
            }
            DispatchEnd::Cancelled => self.counters.failed_or_cancelled += 1,
        }
        if let Some(ix) = active.runner {
            self.refresh(now, ix);
            self.resume_deferred(now, ix);
        }
    }

    pub(super) fn grant_unused(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RetryReason,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(active) = self.release(now, id) else { return };
        match reason {
            RetryReason::ConnectRefused
            | RetryReason::ConnectTimeout
            | RetryReason::RunnerResting
            | RetryReason::TurnedAway => {
                self.pause_runner(now, active.runner);
            }
            RetryReason::Misdirected | RetryReason::RunnerLeaving => {
                self.set_leaving(now, active.runner)
            }
            RetryReason::GrantExpired | RetryReason::OwnerChanged | RetryReason::StaleEpoch => {}
        }
        self.requeue(now, active.request, reason, out);
    }

    /// Handles a grant that its entry did not confirm in time.
    ///
    /// The entry drops a grant after its lifetime and ignores a new grant of a
    /// request that it has dispatched, so queueing the request again is safe.
    pub(super) fn grant_expired(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<PoolAction>,
    ) {
        if let Some(active) = self.release(now, id) {
            self.requeue(now, active.request, RetryReason::GrantExpired, out);
        }
    }

    pub(super) fn adopt(&mut self, now: MonoTime, record: RequestRecord, runner: &RunnerName) {
        let id = record.id;
        if self.active_requests.contains_key(&id) {
            self.dispatched(id);
            return;
        }
        self.drop_waiting(id);
        let request = self.build_request(now, record);
        self.add_to_entry(&request.record.entry, id);
        let ix = self.runners.find(runner);
        self.start_request(now, request, ix, Progress::Dispatched, None, Duration::ZERO);
    }

    pub(super) fn apply_load_report(
        &mut self,
        now: MonoTime,
        name: &RunnerName,
        report: &LoadReport,
    ) {
        let Some(ix) = self.runners.find(name) else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.external_load.apply_report(now, report, runner.in_progress);
            runner.limits.apply_report(now, report);
        }
        self.refresh(now, ix);
    }

    /// Ends the accounting of a granted request and makes the freed capacity of
    /// its runner available.
    pub(super) fn release(&mut self, now: MonoTime, id: RequestId) -> Option<ActiveRequest> {
        let active = self.end_request(now, id)?;
        if let Some(ix) = active.runner {
            self.refresh(now, ix);
            self.resume_deferred(now, ix);
        }
        Some(active)
    }

    /// Ends the accounting of a granted request. The caller refreshes the
    /// runner.
    fn end_request(&mut self, now: MonoTime, id: RequestId) -> Option<ActiveRequest> {
        let mut active = self.active_requests.remove(&id)?;
        if let Some((at, timer)) = active.timer.take() {
            self.timers.cancel(at, timer);
        }
        self.remove_from_entry(&active.request.record.entry, id);
        let Some(ix) = active.runner else { return Some(active) };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.in_progress -= 1;
            runner.cache_tokens -= active.request.cache_tokens();
            if let Some(prefill) = runner.remove_prefill(now, id) {
                self.runners.count_long_prefill(prefill.length, false);
            }
        }
        if active.progress != Progress::Responding {
            self.prefixes.remove_pending(&active.request.record, ix);
        }
        Some(active)
    }

    fn requeue(
        &mut self,
        now: MonoTime,
        mut request: Box<Request>,
        reason: RetryReason,
        out: &mut Vec<PoolAction>,
    ) {
        self.counters.count_returned(reason);
        request.returned_grants += 1;
        let connect_failed =
            matches!(reason, RetryReason::ConnectRefused | RetryReason::ConnectTimeout);
        if connect_failed && !self.retry_budget.try_withdraw() {
            self.refuse(&request, NotRunReason::ConnectFailed, MIN_RETRY_AFTER, out);
            return;
        }
        let exhausted = request.returned_grants > MAX_RETURNED_GRANTS;
        if exhausted || now >= request.unreachable_at {
            self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            return;
        }
        if self.recent_shedding.refuses(now, request.record.tier) {
            self.refuse(&request, NotRunReason::Shed, MIN_RETRY_AFTER, out);
            return;
        }
        if let Some(request) = self.displace_lower_tiers(now, request, out) {
            self.enqueue(request);
        }
    }

    fn observe_usage(&mut self, now: MonoTime, active: &ActiveRequest, usage: &Usage) {
        let request = &active.request;
        self.counters.cached_tokens += u64::from(usage.cached_tokens);
        let Some(ix) = active.runner else { return };
        let Some(runner) = self.runners.get_mut(ix) else { return };
        runner.record_success();
        if !runner.spec.engine {
            runner.rates.observe_service(usage.total);
            self.adapt_limits(now, ix);
            return;
        }
        // A response that is not streamed doesn't show the time between tokens.
        let was_streamed = usage.first_token < usage.total;
        if was_streamed && usage.decode_tokens >= MIN_DECODE_SAMPLE {
            let between = usage.total.saturating_sub(usage.first_token) / (usage.decode_tokens - 1);
            let sequences =
                f64::midpoint(active.sequences_at_grant.into(), (runner.load() + 1).into());
            runner.rates.observe_between(between, sequences);
        }
        self.decode_estimates.observe(&request.record, usage.decode_tokens);
        let error = f64::from(usage.decode_tokens) - f64::from(request.decode_tokens);
        self.counters.decode_error_tokens.observe(error);
        self.adapt_limits(now, ix);
    }

    fn adapt_limits(&mut self, now: MonoTime, ix: RunnerIx) {
        let tightest = self.tightest_target.get();
        let Some(runner) = self.runners.get_mut(ix) else { return };
        let ideal = if runner.spec.engine {
            let target = tightest.map(|t| t.as_secs_f64() * 1e6 * TARGET_SHARE);
            target.map_or(Some(f64::INFINITY), |us| runner.rates.max_sequences_within(us))
        } else {
            runner.rates.max_service_sequences(runner.load())
        };
        let Some(ideal) = ideal else { return };
        runner.limits.adapt(now, ideal, runner.load() as usize);
    }

    fn pause_runner(&mut self, now: MonoTime, runner: Option<RunnerIx>) {
        let Some(ix) = runner else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.record_failure(now);
        }
        self.refresh(now, ix);
        self.resume_deferred(now, ix);
    }

    fn set_leaving(&mut self, now: MonoTime, runner: Option<RunnerIx>) {
        let Some(ix) = runner else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.leaving = true;
        }
        self.refresh(now, ix);
        self.resume_deferred(now, ix);
    }
}
