//! Service rates of one runner, learned from the observations of entries.

use std::time::Duration;

/// Prefill time per token before the first observation, in microseconds.
const DEFAULT_PREFILL_US: f64 = 80.0;

/// Time between tokens before the first observation, in microseconds.
const DEFAULT_BETWEEN_US: f64 = 30_000.0;

/// Fixed prefill cost of a request, expressed in tokens.
const FIXED_PREFILL_TOKENS: f64 = 128.0;

/// Half-life of a prefill observation, in prefilled tokens.
const PREFILL_HALF_LIFE_TOKENS: f64 = 6_000.0;

/// Weight of a new observation of the time between tokens.
const BETWEEN_WEIGHT: f64 = 0.15;

/// Share of the time between tokens that does not depend on the batch size.
const FIXED_BETWEEN_SHARE: f64 = 0.5;

/// Weight of a new observation of a plain service's response time.
const SERVICE_WEIGHT: f64 = 0.1;

/// Slowdown from which a plain service's limit is reduced.
const SERVICE_SLOWDOWN_THRESHOLD: f64 = 2.0;

/// Prefill slowdown from which an engine's limit is reduced.
const PREFILL_SLOWDOWN_THRESHOLD: f64 = 2.5;

/// Weight of the current time in the baseline.
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

    /// Returns the prefill time of one token in microseconds.
    pub(super) fn prefill_us_per_token(&self) -> f64 {
        self.prefill_us / self.prefill_tokens
    }

    /// Returns the time to prefill `tokens` uncached tokens, in microseconds.
    pub(super) fn prefill_us(&self, tokens: u64) -> u64 {
        ((tokens as f64 + FIXED_PREFILL_TOKENS) * self.prefill_us_per_token()) as u64
    }

    /// Returns the expected time between tokens with `sequences` in progress,
    /// in microseconds.
    pub(super) fn between_us(&self, sequences: f64) -> u64 {
        let growth = (sequences / self.between_sequences.max(1.0)).max(0.0);
        let factor = FIXED_BETWEEN_SHARE + (1.0 - FIXED_BETWEEN_SHARE) * growth;
        (self.between_us * factor) as u64
    }

    /// Returns the maximum number of sequences at which the time between tokens
    /// stays at or below `target_us`, or `None` before the first observation.
    pub(super) fn max_sequences_within(&self, target_us: f64) -> Option<f64> {
        if self.between_samples == 0 {
            return None;
        }
        let growth =
            (target_us / self.between_us - FIXED_BETWEEN_SHARE) / (1.0 - FIXED_BETWEEN_SHARE);
        Some((growth * self.between_sequences / self.prefill_slowdown()).max(1.0))
    }

    /// Returns the ratio of the current prefill time to the baseline, or 1 if
    /// it is below [`PREFILL_SLOWDOWN_THRESHOLD`]. Prefill is observed before
    /// the end of a response, so it is the first sign of a slow engine.
    fn prefill_slowdown(&self) -> f64 {
        let slowdown = self.prefill_us_per_token() / self.prefill_baseline_us;
        if slowdown < PREFILL_SLOWDOWN_THRESHOLD { 1.0 } else { slowdown }
    }

    /// Returns the response time of a plain service in microseconds.
    pub(super) fn service_us(&self) -> u64 {
        self.service_us as u64
    }

    /// Returns the ratio of a plain service's response time to the baseline.
    fn service_slowdown(&self) -> f64 {
        if self.service_baseline_us <= 0.0 {
            return 1.0;
        }
        self.service_us / self.service_baseline_us
    }

    /// Returns the maximum number of requests at which a plain service keeps
    /// its baseline time: less than `load` if its slowdown is at least
    /// [`SERVICE_SLOWDOWN_THRESHOLD`], otherwise infinity.
    pub(super) fn max_service_sequences(&self, load: u32) -> Option<f64> {
        let slowdown = self.service_slowdown();
        if slowdown < SERVICE_SLOWDOWN_THRESHOLD {
            return Some(f64::INFINITY);
        }
        Some(f64::from(load) / slowdown)
    }

    pub(super) fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens) + FIXED_PREFILL_TOKENS;
        let decay = 0.5_f64.powf(tokens / PREFILL_HALF_LIFE_TOKENS);
        self.prefill_us = self.prefill_us * decay + took.as_micros() as f64;
        self.prefill_tokens = self.prefill_tokens * decay + tokens;
        let current = self.prefill_us_per_token();
        self.prefill_baseline_us += BASELINE_WEIGHT * (current - self.prefill_baseline_us);
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
