//! Read-only views of a pool, for status pages and operators.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{ClassName, RequestId, RunnerName},
    time::MonoTime,
};

use super::{
    Estimate, Explanation, LengthClass, Pool, PoolSizes, Rank, RequestState, RunnerView, TierView,
    WaitCause,
    active_request::Progress,
    grant::tier_group_of,
    request::Request,
    runner::{Runner, RunnerIx},
};

impl Pool {
    /// Returns the waiting requests by tier.
    #[must_use]
    pub fn tiers(&self) -> Vec<TierView> {
        let mut views: Vec<TierView> = Vec::new();
        for (tier, length, queue) in self.queues.iter() {
            if views.last().is_none_or(|view| view.tier != tier) {
                views.push(TierView { tier, waiting: 0, waiting_long: 0 });
            }
            let Some(view) = views.last_mut() else { continue };
            view.waiting += queue.fair.len();
            if length == LengthClass::Long {
                view.waiting_long += queue.fair.len();
            }
        }
        views
    }

    /// Returns whether the runner is known and leaving.
    #[must_use]
    pub fn is_leaving(&self, runner: &RunnerName) -> bool {
        let ix = self.runners.find(runner);
        ix.and_then(|ix| self.runners.get(ix)).is_some_and(|runner| runner.leaving)
    }

    /// Returns the known runners in order of name.
    #[must_use]
    pub fn runners(&self, now: MonoTime) -> Vec<RunnerView> {
        self.runners.iter().map(|runner| view_of(now, runner)).collect()
    }

    /// Returns the learned response lengths by class.
    #[must_use]
    pub fn decode_estimates(&self) -> &BTreeMap<ClassName, Estimate> {
        self.decode_estimates.classes()
    }

    /// Returns the number of retries that the pool's budget still allows.
    #[must_use]
    pub fn retries_left(&self) -> u32 {
        self.retry_budget.balance() as u32
    }

    /// Returns the sizes of the pool's collections.
    #[must_use]
    pub fn sizes(&self) -> PoolSizes {
        PoolSizes {
            waiting: self.queues.len(),
            waiting_bytes: self.queues.bytes(),
            in_progress: self.active_requests.len(),
            timers: self.timers.len(),
            prefix_hints: self.prefixes.len(),
            workspaces: self.queues.iter().map(|(_, _, queue)| queue.fair.workspace_count()).sum(),
        }
    }

    /// Returns the state of a request, or `None` if it is neither waiting nor
    /// granted.
    #[must_use]
    pub fn explain(&self, id: RequestId) -> Option<Explanation> {
        if let Some(active) = self.active_requests.get(&id) {
            let runner = active.runner.and_then(|ix| self.runner_name(ix));
            let state = match active.progress {
                Progress::Granted => RequestState::Granted(runner),
                Progress::Responding | Progress::Dispatched => RequestState::Dispatched(runner),
            };
            return Some(Explanation { rank: rank_of(&active.request), state });
        }
        let request = self.queues.get(id)?;
        let state = RequestState::Waiting(self.wait_cause(request));
        Some(Explanation { rank: rank_of(request), state })
    }

    fn wait_cause(&self, request: &Request) -> WaitCause {
        let tier = request.record.tier;
        if self.runners.len() == 0 {
            return WaitCause::NoRunner;
        }
        if request.deferral.is_some() {
            return WaitCause::Prefix;
        }
        let queue = self.queues.queue(tier, request.length);
        if queue.is_some_and(|queue| queue.fair.is_over_share(&request.record.workspace)) {
            return WaitCause::OverShare;
        }
        if !self.runners.any_with_capacity(tier_group_of(tier), request.length) {
            return WaitCause::NoCapacity;
        }
        WaitCause::LowerRank
    }

    fn runner_name(&self, ix: RunnerIx) -> Option<RunnerName> {
        self.runners.get(ix).map(|runner| runner.spec.name.clone())
    }
}

fn rank_of(request: &Request) -> Rank {
    Rank {
        tier: request.record.tier,
        length: request.length,
        latest_start: request.latest_start,
        unreachable_at: request.unreachable_at,
        work: request.work(),
    }
}

fn view_of(now: MonoTime, runner: &Runner) -> RunnerView {
    let per_token_ns = runner.rates.prefill_us_per_token() * 1e3;
    RunnerView {
        name: runner.spec.name.clone(),
        leaving: runner.leaving,
        paused: now < runner.paused_until,
        in_progress: runner.in_progress,
        external_sequences: runner.external_load.sequences(),
        sequence_limit: runner.limits.sequences(),
        tokens: runner.cache_tokens,
        token_limit: runner.limits.tokens(),
        prefill_per_token: Duration::from_nanos(per_token_ns as u64),
        between_tokens: Duration::from_micros(runner.rates.between_us(f64::from(runner.load()))),
        wait: runner.prefill_wait(now),
        pending_prefill: runner.pending_prefills.len(),
    }
}
