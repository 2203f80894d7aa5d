//! State of a runner at the pool owner.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{DataCentreName, RequestId, RunnerName},
    time::MonoTime,
};

use super::{
    external_load::ExternalLoad, limits::RunnerLimits, rates::Rates, request::LengthClass,
};

/// Maximum wait for pending prefills at which a runner still gets requests.
/// Keeps the engine's own queue nearly empty.
pub(super) const MAX_PREFILL_WAIT: Duration = Duration::from_millis(150);

/// The same limit for the top tier.
pub(super) const MAX_TOP_TIER_PREFILL_WAIT: Duration = Duration::from_millis(300);

/// One in this many slots is reserved for the top tier.
const TOP_TIER_RESERVE_DIVISOR: u32 = 10;

/// Pause after the first failure of a runner; each further one doubles it.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Index of a runner in the pool's table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RunnerIx(pub(super) u32);

/// Description of a runner, from the configuration and the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSpec {
    /// The runner's name.
    pub name: RunnerName,
    /// The data centre of the runner.
    pub data_centre: DataCentreName,
    /// Limit on requests in progress before the first observation.
    pub initial_limit: u32,
    /// True for a model engine, false for a plain service.
    pub engine: bool,
    /// True if the runner is leaving: it gets no new requests.
    pub leaving: bool,
}

/// Tiers by whether they may use the capacity reserved for the top tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TierGroup {
    /// The top tier, which may use the reserved capacity.
    Top,
    /// Any other tier, which may not.
    Lower,
}

/// A prompt that the runner has not prefilled yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPrefill {
    pub(super) id: RequestId,
    pub(super) tokens: u32,
    pub(super) length: LengthClass,
    pub(super) granted_at: MonoTime,
}

/// State of a runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) spec: RunnerSpec,
    pub(super) leaving: bool,
    pub(super) in_progress: u32,
    pub(super) cache_tokens: u64,
    pub(super) rates: Rates,
    pub(super) limits: RunnerLimits,
    pub(super) external_load: ExternalLoad,
    pub(super) pending_prefills: VecDeque<PendingPrefill>,
    pub(super) pending_prefill_tokens: u64,
    pub(super) pending_long_prefills: u32,
    /// When all pending prompts are expected to be prefilled.
    pub(super) prefill_done_at: MonoTime,
    pub(super) last_first_token_at: MonoTime,
    pub(super) paused_until: MonoTime,
    consecutive_failures: u32,
}

impl Runner {
    pub(super) fn new(spec: RunnerSpec) -> Self {
        let limits = RunnerLimits::new(spec.initial_limit);
        let rates = Rates::new(f64::from(spec.initial_limit) / 2.0);
        Self {
            leaving: spec.leaving,
            spec,
            in_progress: 0,
            cache_tokens: 0,
            rates,
            limits,
            external_load: ExternalLoad::default(),
            pending_prefills: VecDeque::new(),
            pending_prefill_tokens: 0,
            pending_long_prefills: 0,
            prefill_done_at: MonoTime::ZERO,
            last_first_token_at: MonoTime::ZERO,
            paused_until: MonoTime::ZERO,
            consecutive_failures: 0,
        }
    }

    /// Returns the sequences in progress, including external load.
    pub(super) fn load(&self) -> u32 {
        self.in_progress + self.external_load.sequences()
    }

    /// Returns the expected wait of a new prompt for the pending ones. If these
    /// take longer than expected, the wait grows with the delay.
    pub(super) fn prefill_wait(&self, now: MonoTime) -> Duration {
        if self.pending_prefills.is_empty() {
            return Duration::ZERO;
        }
        self.prefill_done_at.since(now).max(now.since(self.prefill_done_at))
    }

    /// Returns whether the runner may get a request of this length class now.
    pub(super) fn has_capacity(
        &self,
        now: MonoTime,
        group: TierGroup,
        length: LengthClass,
    ) -> bool {
        let max_wait = match group {
            TierGroup::Top => MAX_TOP_TIER_PREFILL_WAIT,
            TierGroup::Lower => MAX_PREFILL_WAIT,
        };
        let long_pending = length == LengthClass::Long && self.pending_long_prefills > 0;
        let may_grant = self.is_usable(now) && self.has_slot(group);
        may_grant && !long_pending && self.prefill_wait(now) <= max_wait
    }

    /// Returns whether the runner is neither leaving nor paused.
    pub(super) fn is_usable(&self, now: MonoTime) -> bool {
        !self.leaving && now >= self.paused_until
    }

    /// Returns whether the limits allow one more request.
    pub(super) fn has_slot(&self, group: TierGroup) -> bool {
        let limit = self.limits.sequences();
        let reserve = match group {
            TierGroup::Top => 0,
            TierGroup::Lower => limit.div_ceil(TOP_TIER_RESERVE_DIVISOR),
        };
        let group_limit = limit.saturating_sub(reserve).max(1);
        self.load() < group_limit && self.cache_tokens < self.limits.tokens()
    }

    /// Returns when the wait for pending prefills will be short enough again,
    /// if it is too long now.
    pub(super) fn capacity_at(&self, now: MonoTime) -> Option<MonoTime> {
        let too_long =
            !self.pending_prefills.is_empty() && self.prefill_done_at > now + MAX_PREFILL_WAIT;
        too_long.then(|| self.prefill_done_at - MAX_PREFILL_WAIT)
    }

    pub(super) fn push_prefill(&mut self, now: MonoTime, prefill: PendingPrefill) {
        let start =
            if self.pending_prefills.is_empty() { now } else { self.prefill_done_at.max(now) };
        let us = self.rates.prefill_us(u64::from(prefill.tokens));
        self.prefill_done_at = start + Duration::from_micros(us);
        self.pending_prefill_tokens += u64::from(prefill.tokens);
        self.pending_long_prefills += u32::from(prefill.length == LengthClass::Long);
        self.pending_prefills.push_back(prefill);
    }

    /// Removes a prompt from the prefill queue.
    pub(super) fn remove_prefill(
        &mut self,
        now: MonoTime,
        id: RequestId,
    ) -> Option<PendingPrefill> {
        let position = self.pending_prefills.iter().position(|p| p.id == id)?;
        let prefill = self.pending_prefills.remove(position)?;
        self.pending_prefill_tokens -= u64::from(prefill.tokens);
        self.pending_long_prefills -= u32::from(prefill.length == LengthClass::Long);
        let count = self.pending_prefills.len() as u64;
        let us: u64 = if count == 0 {
            0
        } else {
            self.rates.prefill_us(self.pending_prefill_tokens)
                + (count - 1) * self.rates.prefill_us(0)
        };
        self.prefill_done_at = now + Duration::from_micros(us);
        Some(prefill)
    }

    /// Updates the prefill rate on the first token of a request. The engine
    /// prefills in order, so a request's prefill starts at the previous first
    /// token or at its own grant, whichever is later.
    pub(super) fn observe_first_token(&mut self, now: MonoTime, prefill: &PendingPrefill) {
        let start = prefill.granted_at.max(self.last_first_token_at);
        self.rates.observe_prefill(prefill.tokens, now.since(start));
        self.last_first_token_at = now;
        self.record_success();
    }

    /// Records a success, so that the next failure causes the shortest pause.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure, pauses the runner, and returns the end of the pause.
    pub(super) fn record_failure(&mut self, now: MonoTime) -> MonoTime {
        let pause = MIN_PAUSE * 2_u32.saturating_pow(self.consecutive_failures.min(10));
        self.consecutive_failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.paused_until
    }
}
