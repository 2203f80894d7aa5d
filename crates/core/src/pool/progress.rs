//! What entries report on granted requests.

use std::time::Duration;

use crate::{
    ids::{RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::{DispatchEnd, RequestRecord, Usage},
    time::MonoTime,
};

use super::{
    Pool, PoolAction,
    flight::{Flight, Progress},
    input::LoadReport,
    prefix::Stage,
    request::Request,
    runner::RunnerIx,
    state::MIN_RETRY_AFTER,
};

/// Most unused grants of one request.
const MAX_RETURNED_GRANTS: u8 = 8;

/// Fewest generated tokens from which a time between tokens is learned.
const MIN_DECODE_SAMPLE: u32 = 8;

/// Share of the tightest target between tokens that limits are planned with.
const PLANNED_SHARE: f64 = 0.9;

impl Pool {
    pub(super) fn withdraw(&mut self, now: MonoTime, id: RequestId) {
        if self.drop_waiting(id).is_none() {
            self.release(now, id);
        }
    }

    pub(super) fn dispatched(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if flight.progress != Progress::Granted {
            return;
        }
        flight.progress = Progress::Dispatched;
        if let Some((at, timer)) = flight.timer.take() {
            self.timers.cancel(at, timer);
        }
    }

    pub(super) fn first_token(&mut self, now: MonoTime, id: RequestId) {
        self.dispatched(id);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if flight.progress == Progress::Answering {
            return;
        }
        flight.progress = Progress::Answering;
        let took = now.since(flight.granted);
        let expected = flight.expected;
        let Some(ix) = flight.runner else { return };
        let Some(runner) = self.runners.get_mut(ix) else { return };
        if let Some(prefill) = runner.remove_prefill(now, id) {
            runner.first_token(now, &prefill);
            self.prefixes.note(now, &flight.request.record, ix, Stage::Cached);
            self.runners.count_long(prefill.length, false);
            let error_ms = took.as_secs_f64() * 1e3 - expected.as_secs_f64() * 1e3;
            self.counters.first_token_error_ms.observe(error_ms);
        }
        self.follow_limit(now, ix);
        self.refresh(now, ix);
        self.free_held(now, ix);
    }

    pub(super) fn ended(&mut self, now: MonoTime, id: RequestId, end: DispatchEnd) {
        let Some(flight) = self.end_flight(now, id) else {
            self.drop_waiting(id);
            return;
        };
        match end {
            DispatchEnd::Complete(usage) => {
                self.counters.completed += 1;
                self.learn(now, &flight, &usage);
            }
            DispatchEnd::Failed => {
                self.counters.failed_or_cancelled += 1;
                self.pause_runner(now, flight.runner);
            }
            DispatchEnd::Cancelled => self.counters.failed_or_cancelled += 1,
        }
        if let Some(ix) = flight.runner {
            self.refresh(now, ix);
            self.free_held(now, ix);
        }
    }

    pub(super) fn grant_unused(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RetryReason,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(flight) = self.release(now, id) else { return };
        match reason {
            RetryReason::ConnectRefused | RetryReason::ConnectTimeout | RetryReason::TurnedAway => {
                self.pause_runner(now, flight.runner);
            }
            RetryReason::RunnerLeaving => self.set_leaving(now, flight.runner),
            RetryReason::GrantExpired | RetryReason::OwnerChanged | RetryReason::StaleEpoch => {}
        }
        self.wait_again(now, flight.request, reason, out);
    }

    /// An entry did not confirm a grant in time.
    ///
    /// The entry drops a grant after its lifetime, and ignores a new grant of a
    /// request that it has dispatched, so waiting again is safe.
    pub(super) fn grant_expired(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<PoolAction>,
    ) {
        if let Some(flight) = self.release(now, id) {
            self.wait_again(now, flight.request, RetryReason::GrantExpired, out);
        }
    }

    pub(super) fn adopt(&mut self, now: MonoTime, record: RequestRecord, runner: &RunnerName) {
        let id = record.id;
        if self.flights.contains_key(&id) {
            self.dispatched(id);
            return;
        }
        self.drop_waiting(id);
        let request = self.request(now, record);
        self.note_entry(&request.record.entry, id);
        let ix = self.runners.find(runner);
        self.start_flight(now, request, ix, Progress::Dispatched, None, Duration::ZERO);
    }

    pub(super) fn load_report(&mut self, now: MonoTime, name: &RunnerName, report: &LoadReport) {
        let Some(ix) = self.runners.find(name) else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.foreign.report(now, report, runner.in_progress);
            runner.limit.report(now, report);
        }
        self.refresh(now, ix);
    }

    /// Ends the accounting of a granted request and lets its runner have more.
    pub(super) fn release(&mut self, now: MonoTime, id: RequestId) -> Option<Flight> {
        let flight = self.end_flight(now, id)?;
        if let Some(ix) = flight.runner {
            self.refresh(now, ix);
            self.free_held(now, ix);
        }
        Some(flight)
    }

    /// Ends the accounting of a granted request. The caller updates the
    /// runner's position.
    fn end_flight(&mut self, now: MonoTime, id: RequestId) -> Option<Flight> {
        let mut flight = self.flights.remove(&id)?;
        if let Some((at, timer)) = flight.timer.take() {
            self.timers.cancel(at, timer);
        }
        self.forget_entry(&flight.request.record.entry, id);
        let Some(ix) = flight.runner else { return Some(flight) };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.in_progress -= 1;
            runner.tokens -= flight.request.cache_tokens();
            if let Some(prefill) = runner.remove_prefill(now, id) {
                self.runners.count_long(prefill.length, false);
            }
        }
        if flight.progress != Progress::Answering {
            self.prefixes.forget_coming(&flight.request.record, ix);
        }
        Some(flight)
    }

    fn wait_again(
        &mut self,
        now: MonoTime,
        mut request: Box<Request>,
        reason: RetryReason,
        out: &mut Vec<PoolAction>,
    ) {
        self.counters.give_back(reason);
        request.returned_grants += 1;
        let connect = matches!(reason, RetryReason::ConnectRefused | RetryReason::ConnectTimeout);
        if connect && !self.budget.take() {
            self.refuse(&request, NotRunReason::ConnectFailed, MIN_RETRY_AFTER, out);
            return;
        }
        let spent = request.returned_grants > MAX_RETURNED_GRANTS;
        if spent || now >= request.unreachable_at {
            self.refuse(&request, NotRunReason::TargetUnreachable, MIN_RETRY_AFTER, out);
            return;
        }
        if self.closed.is_closed(now, request.record.tier) {
            self.refuse(&request, NotRunReason::Shed, MIN_RETRY_AFTER, out);
            return;
        }
        if let Some(request) = self.make_room(now, request, out) {
            self.enqueue(request);
        }
    }

    fn learn(&mut self, now: MonoTime, flight: &Flight, usage: &Usage) {
        let request = &flight.request;
        self.counters.cached_tokens += u64::from(usage.cached_tokens);
        let Some(ix) = flight.runner else { return };
        let Some(runner) = self.runners.get_mut(ix) else { return };
        runner.succeeded();
        if !runner.spec.engine {
            runner.rates.observe_service(usage.total);
            self.follow_limit(now, ix);
            return;
        }
        // An answer in one piece shows no time between tokens.
        let was_streamed = usage.first_token < usage.total;
        if was_streamed && usage.decode_tokens >= MIN_DECODE_SAMPLE {
            let between = usage.total.saturating_sub(usage.first_token) / (usage.decode_tokens - 1);
            let sequences = f64::midpoint(flight.sequences.into(), (runner.load() + 1).into());
            runner.rates.observe_between(between, sequences);
        }
        self.decode.observe(&request.record, usage.decode_tokens);
        let error = f64::from(usage.decode_tokens) - f64::from(request.decode_tokens);
        self.counters.decode_error_tokens.observe(error);
        self.follow_limit(now, ix);
    }

    fn follow_limit(&mut self, now: MonoTime, ix: RunnerIx) {
        let tightest = self.tightest.get();
        let Some(runner) = self.runners.get_mut(ix) else { return };
        let ideal = if runner.spec.engine {
            let target = tightest.map(|t| t.as_secs_f64() * 1e6 * PLANNED_SHARE);
            target.map_or(Some(f64::INFINITY), |us| runner.rates.sequences_within(us))
        } else {
            runner.rates.service_sequences(runner.load())
        };
        let Some(ideal) = ideal else { return };
        runner.limit.follow(now, ideal, runner.load() as usize);
    }

    fn pause_runner(&mut self, now: MonoTime, runner: Option<RunnerIx>) {
        let Some(ix) = runner else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.pause(now);
        }
        self.refresh(now, ix);
        self.free_held(now, ix);
    }

    fn set_leaving(&mut self, now: MonoTime, runner: Option<RunnerIx>) {
        let Some(ix) = runner else { return };
        if let Some(runner) = self.runners.get_mut(ix) {
            runner.leaving = true;
        }
        self.refresh(now, ix);
        self.free_held(now, ix);
    }
}
