//! Service rates of one runner, learned from what entries observe.

use std::time::Duration;

/// Prefill time per token before anything was observed, in microseconds.
const DEFAULT_PREFILL_US: f64 = 80.0;

/// Time between tokens before anything was observed, in microseconds.
const DEFAULT_BETWEEN_US: f64 = 30_000.0;

/// Prefill tokens that stand for the fixed cost of a request.
const FIXED_PREFILL_TOKENS: f64 = 128.0;

/// Tokens after which an old observation of the prefill rate weighs half.
const PREFILL_MEMORY_TOKENS: f64 = 6_000.0;

/// Weight of a new observation of the time between tokens.
const BETWEEN_WEIGHT: f64 = 0.15;

/// Share of the time between tokens that does not depend on the batch.
const FIXED_BETWEEN_SHARE: f64 = 0.5;

/// Weight of a new observation of a plain service's time.
const SERVICE_WEIGHT: f64 = 0.1;

/// Slowdown from which a plain service's limit falls.
const SLOW_SERVICE: f64 = 2.0;

/// Slowdown of prefill from which an engine's limit falls.
const SLOW_PREFILL: f64 = 2.5;

/// Weight of the present time in the usual time.
const BASELINE_WEIGHT: f64 = 0.02;

/// Learned rates of one runner.
#[derive(Clone, Debug)]
pub(super) struct Rates {
    prefill_us: f64,
    prefill_tokens: f64,
    prefill_baseline_us: f64,
    between_us: f64,
    between_sequences: f64,
    between_samples: u64,
    service_us: f64,
    service_baseline_us: f64,
}

impl Rates {
    pub(super) fn new(initial_sequences: f64) -> Self {
        Self {
            prefill_us: DEFAULT_PREFILL_US * FIXED_PREFILL_TOKENS,
            prefill_tokens: FIXED_PREFILL_TOKENS,
            prefill_baseline_us: DEFAULT_PREFILL_US,
            between_us: DEFAULT_BETWEEN_US,
            between_sequences: initial_sequences,
            between_samples: 0,
            service_us: 0.0,
            service_baseline_us: 0.0,
        }
    }

    /// Prefill time of one token in microseconds.
    pub(super) fn prefill_us_per_token(&self) -> f64 {
        self.prefill_us / self.prefill_tokens
    }

    /// Time to prefill so many tokens that are not cached.
    pub(super) fn prefill_us(&self, tokens: u64) -> u64 {
        ((tokens as f64 + FIXED_PREFILL_TOKENS) * self.prefill_us_per_token()) as u64
    }

    /// Expected time between tokens with so many sequences in progress.
    pub(super) fn between_us(&self, sequences: f64) -> u64 {
        let growth = (sequences / self.between_sequences.max(1.0)).max(0.0);
        let factor = FIXED_BETWEEN_SHARE + (1.0 - FIXED_BETWEEN_SHARE) * growth;
        (self.between_us * factor) as u64
    }

    /// Most sequences at which the time between tokens stays at or below
    /// `target_us`, if it is known.
    pub(super) fn sequences_within(&self, target_us: f64) -> Option<f64> {
        if self.between_samples == 0 {
            return None;
        }
        let growth =
            (target_us / self.between_us - FIXED_BETWEEN_SHARE) / (1.0 - FIXED_BETWEEN_SHARE);
        Some((growth * self.between_sequences / self.prefill_slowdown()).max(1.0))
    }

    /// How much slower prefill is now than usual. Prefill is observed before
    /// the end of an answer, so it shows a slowed engine first.
    fn prefill_slowdown(&self) -> f64 {
        let slowdown = self.prefill_us_per_token() / self.prefill_baseline_us;
        if slowdown < SLOW_PREFILL { 1.0 } else { slowdown }
    }

    /// Time of a plain service's answer in microseconds.
    pub(super) fn service_us(&self) -> u64 {
        self.service_us as u64
    }

    /// How much slower a plain service is now than usual.
    fn service_slowdown(&self) -> f64 {
        if self.service_baseline_us <= 0.0 {
            return 1.0;
        }
        self.service_us / self.service_baseline_us
    }

    /// Most requests at which a plain service keeps its usual time: fewer than
    /// now while it is slower than [`SLOW_SERVICE`] times usual, else no limit.
    pub(super) fn service_sequences(&self, load: u32) -> Option<f64> {
        let slowdown = self.service_slowdown();
        if slowdown < SLOW_SERVICE {
            return Some(f64::INFINITY);
        }
        Some(f64::from(load) / slowdown)
    }

    pub(super) fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens) + FIXED_PREFILL_TOKENS;
        let keep = 0.5_f64.powf(tokens / PREFILL_MEMORY_TOKENS);
        self.prefill_us = self.prefill_us * keep + took.as_micros() as f64;
        self.prefill_tokens = self.prefill_tokens * keep + tokens;
        let present = self.prefill_us_per_token();
        self.prefill_baseline_us += BASELINE_WEIGHT * (present - self.prefill_baseline_us);
    }

    pub(super) fn observe_between(&mut self, between: Duration, sequences: f64) {
        let weight = if self.between_samples == 0 { 1.0 } else { BETWEEN_WEIGHT };
        self.between_samples += 1;
        self.between_us += weight * (between.as_micros() as f64 - self.between_us);
        self.between_sequences += weight * (sequences - self.between_sequences);
    }

    pub(super) fn observe_service(&mut self, took: Duration) {
        let us = took.as_micros() as f64;
        if self.service_us <= 0.0 {
            self.service_us = us;
            self.service_baseline_us = us;
            return;
        }
        self.service_us += SERVICE_WEIGHT * (us - self.service_us);
        self.service_baseline_us += BASELINE_WEIGHT * (self.service_us - self.service_baseline_us);
    }
}
