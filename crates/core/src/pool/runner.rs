//! A runner as the pool owner sees it.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{DataCentreName, RequestId, RunnerName},
    time::MonoTime,
};

use super::{foreign::ForeignLoad, limit::Limit, rates::Rates, request::LengthClass};

/// Time that a prefill queue may last before the runner gets no more work, so
/// that the engine's own queue stays near empty.
pub(super) const PREFILL_HORIZON: Duration = Duration::from_millis(150);

/// The same limit for the top tier.
pub(super) const TOP_PREFILL_HORIZON: Duration = Duration::from_millis(300);

/// One in so many sequences is kept free for the top tier.
const HEADROOM_DIVISOR: u32 = 10;

/// First pause after a runner failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after a runner failed.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Position of a runner in the pool's table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RunnerIx(pub(super) u32);

/// What the configuration and the host list say of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSpec {
    /// The runner's name.
    pub name: RunnerName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Most requests in progress before anything was learned of the runner.
    pub initial_limit: u32,
    /// True for a model engine, false for a plain service.
    pub engine: bool,
    /// True if the runner is leaving: it gets no new work.
    pub leaving: bool,
}

/// Whether a request may use the capacity that is kept for the top tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// The top tier.
    Top,
    /// Any other tier.
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
    /// When the pending prompts are expected to be prefilled.
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

    /// Sequences in progress, with those that others sent.
    pub(super) fn load(&self) -> u32 {
        self.in_progress + self.foreign.sequences()
    }

    /// Expected wait for the prompts before a new one. When the prompts take
    /// longer than expected, the wait grows with the delay.
    pub(super) fn wait(&self, now: MonoTime) -> Duration {
        if self.pending.is_empty() {
            return Duration::ZERO;
        }
        self.free_at.since(now).max(now.since(self.free_at))
    }

    /// True if the runner may get a request of this length now.
    pub(super) fn has_room(&self, now: MonoTime, access: Access, length: LengthClass) -> bool {
        let horizon = match access {
            Access::Top => TOP_PREFILL_HORIZON,
            Access::Lower => PREFILL_HORIZON,
        };
        let long_full = length == LengthClass::Long && self.long_pending > 0;
        let free = self.is_usable(now) && self.has_slot(access);
        free && !long_full && self.wait(now) <= horizon
    }

    /// True if the runner may get work at all.
    pub(super) fn is_usable(&self, now: MonoTime) -> bool {
        !self.leaving && now >= self.paused_until
    }

    /// True if the limits leave room for a request.
    pub(super) fn has_slot(&self, access: Access) -> bool {
        let limit = self.limit.sequences();
        let reserve = match access {
            Access::Top => 0,
            Access::Lower => limit.div_ceil(HEADROOM_DIVISOR),
        };
        let usable = limit.saturating_sub(reserve).max(1);
        self.load() < usable && self.tokens < self.limit.tokens()
    }

    /// When the prefill queue is short enough again, if it is too long now.
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

    /// Takes a prompt out of the prefill queue.
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

    /// Learns the prefill rate from the first token of a request. The engine
    /// prefills in order, so the time since the previous first token, or since
    /// the grant if that is later, is this request's own.
    pub(super) fn first_token(&mut self, now: MonoTime, prefill: &PendingPrefill) {
        let start = prefill.granted.max(self.last_first_token);
        self.rates.observe_prefill(prefill.tokens, now.since(start));
        self.last_first_token = now;
        self.succeeded();
    }

    /// Notes that the runner answers, so that its next failure pauses it for
    /// the shortest time.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns when the runner may be used again.
    pub(super) fn pause(&mut self, now: MonoTime) -> MonoTime {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
        self.paused_until
    }
}
