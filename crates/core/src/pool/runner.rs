//! State of a runner at the pool owner.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{DataCentreName, RequestId, RunnerName},
    time::MonoTime,
};

use super::{foreign::ForeignLoad, limit::Limit, rates::Rates, request::LengthClass};

/// Maximum wait for pending prefills at which a runner still gets requests.
/// Keeps the engine's own queue nearly empty.
pub(super) const PREFILL_HORIZON: Duration = Duration::from_millis(150);

/// The same limit for the top tier.
pub(super) const TOP_PREFILL_HORIZON: Duration = Duration::from_millis(300);

/// One in this many slots is reserved for the top tier.
const HEADROOM_DIVISOR: u32 = 10;

/// Pause after the first failure of a runner; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after a failure.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

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

/// Whether a request may use the capacity reserved for the top tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
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
    pub(super) granted: MonoTime,
}

/// State of a runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) spec: RunnerSpec,
    pub(super) leaving: bool,
    pub(super) in_progress: u32,
    pub(super) tokens: u64,
    pub(super) rates: Rates,
    pub(super) limit: Limit,
    pub(super) foreign: ForeignLoad,
    pub(super) pending: VecDeque<PendingPrefill>,
    pub(super) pending_tokens: u64,
    pub(super) long_pending: u32,
    /// When all pending prompts are expected to be prefilled.
    pub(super) free_at: MonoTime,
    pub(super) last_first_token: MonoTime,
    pub(super) paused_until: MonoTime,
    failures: u32,
}

impl Runner {
    pub(super) fn new(spec: RunnerSpec) -> Self {
        let limit = Limit::new(spec.initial_limit);
        let rates = Rates::new(f64::from(spec.initial_limit) / 2.0);
        Self {
            leaving: spec.leaving,
            spec,
            in_progress: 0,
            tokens: 0,
            rates,
            limit,
            foreign: ForeignLoad::default(),
            pending: VecDeque::new(),
            pending_tokens: 0,
            long_pending: 0,
            free_at: MonoTime::ZERO,
            last_first_token: MonoTime::ZERO,
            paused_until: MonoTime::ZERO,
            failures: 0,
        }
    }

    /// Returns the sequences in progress, including external load.
    pub(super) fn load(&self) -> u32 {
        self.in_progress + self.foreign.sequences()
    }

    /// Returns the expected wait of a new prompt for the pending ones. If these
    /// take longer than expected, the wait grows with the delay.
    pub(super) fn wait(&self, now: MonoTime) -> Duration {
        if self.pending.is_empty() {
            return Duration::ZERO;
        }
        self.free_at.since(now).max(now.since(self.free_at))
    }

    /// Returns whether the runner may get a request of this length class now.
    pub(super) fn has_room(&self, now: MonoTime, access: Access, length: LengthClass) -> bool {
        let horizon = match access {
            Access::Top => TOP_PREFILL_HORIZON,
            Access::Lower => PREFILL_HORIZON,
        };
        let long_full = length == LengthClass::Long && self.long_pending > 0;
        let free = self.is_usable(now) && self.has_slot(access);
        free && !long_full && self.wait(now) <= horizon
    }

    /// Returns whether the runner is neither leaving nor paused.
    pub(super) fn is_usable(&self, now: MonoTime) -> bool {
        !self.leaving && now >= self.paused_until
    }

    /// Returns whether the limits allow one more request.
    pub(super) fn has_slot(&self, access: Access) -> bool {
        let limit = self.limit.sequences();
        let reserve = match access {
            Access::Top => 0,
            Access::Lower => limit.div_ceil(HEADROOM_DIVISOR),
        };
        let usable = limit.saturating_sub(reserve).max(1);
        self.load() < usable && self.tokens < self.limit.tokens()
    }

    /// Returns when the wait for pending prefills will be short enough again,
    /// if it is too long now.
    pub(super) fn reopens_at(&self, now: MonoTime) -> Option<MonoTime> {
        let too_long = !self.pending.is_empty() && self.free_at > now + PREFILL_HORIZON;
        too_long.then(|| self.free_at - PREFILL_HORIZON)
    }

    pub(super) fn push_prefill(&mut self, now: MonoTime, prefill: PendingPrefill) {
        let start = if self.pending.is_empty() { now } else { self.free_at.max(now) };
        let us = self.rates.prefill_us(u64::from(prefill.tokens));
        self.free_at = start + Duration::from_micros(us);
        self.pending_tokens += u64::from(prefill.tokens);
        self.long_pending += u32::from(prefill.length == LengthClass::Long);
        self.pending.push_back(prefill);
    }

    /// Removes a prompt from the prefill queue.
    pub(super) fn remove_prefill(
        &mut self,
        now: MonoTime,
        id: RequestId,
    ) -> Option<PendingPrefill> {
        let position = self.pending.iter().position(|p| p.id == id)?;
        let prefill = self.pending.remove(position)?;
        self.pending_tokens -= u64::from(prefill.tokens);
        self.long_pending -= u32::from(prefill.length == LengthClass::Long);
        let count = self.pending.len() as u64;
        let us: u64 = if count == 0 {
            0
        } else {
            self.rates.prefill_us(self.pending_tokens) + (count - 1) * self.rates.prefill_us(0)
        };
        self.free_at = now + Duration::from_micros(us);
        Some(prefill)
    }

    /// Updates the prefill rate on the first token of a request. The engine
    /// prefills in order, so a request's prefill starts at the previous first
    /// token or at its own grant, whichever is later.
    pub(super) fn first_token(&mut self, now: MonoTime, prefill: &PendingPrefill) {
        let start = prefill.granted.max(self.last_first_token);
        self.rates.observe_prefill(prefill.tokens, now.since(start));
        self.last_first_token = now;
        self.succeeded();
    }

    /// Records a success, so that the next failure causes the shortest pause.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the end of the resulting pause.
    pub(super) fn pause(&mut self, now: MonoTime) -> MonoTime {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
        self.paused_until
    }
}
