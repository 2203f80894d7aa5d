//! Adaptive limits of one runner on sequences and cache tokens.
//!
//! The sequence limit is reduced as soon as the runner is slower than the
//! targets allow, and grows by one at a time while the runner is busy; the token
//! limit grows with it. A persistent queue in the engine reduces the token limit
//! if the engine's cache is full, and the sequence limit otherwise.

use std::time::Duration;

use crate::time::MonoTime;

use super::input::LoadReport;

/// Cache tokens per sequence assumed before the first observation.
const INITIAL_TOKENS_PER_SEQUENCE: f64 = 8_192.0;

/// Maximum sequence limit of one runner.
const MAX_SEQUENCES: f64 = 1_024.0;

/// Maximum cache token limit of one runner.
const MAX_TOKENS: f64 = 1e9;

/// Lower bound on the factor of one reduction.
const MIN_REDUCTION_FACTOR: f64 = 0.7;

/// Minimum time between two reductions.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time from a reduction or an increase to the next increase.
const INCREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without increases after the engine reported a persistent queue.
const NO_INCREASE_AFTER_QUEUE: Duration = Duration::from_secs(10);

/// Share of the limit that must be in use before the limit grows.
const GROWTH_MIN_UTILIZATION: f64 = 0.8;

/// Share of the maximum of running sequences below which a queue in the engine
/// means that its cache memory is full.
const FULL_CACHE_SHARE: f64 = 0.8;

/// Sequences that normally wait in the engine for its next step.
const NORMAL_QUEUE: u32 = 2;

/// Consecutive reports of a longer queue after which a limit is reduced.
const REPORTS_BEFORE_REDUCTION: u32 = 2;

/// Growth factor of the token limit per increase.
const TOKEN_GROWTH: f64 = 1.02;

/// Reports of this age or older don't change the limits.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Learned limits of one runner.
#[derive(Clone, Debug)]
pub(super) struct RunnerLimits {
    sequences: f64,
    tokens: f64,
    last_reduction: MonoTime,
    next_increase: MonoTime,
    /// Maximum of running sequences that the engine has reported.
    max_running: f64,
    /// Consecutive reports of a queue longer than [`NORMAL_QUEUE`].
    consecutive_queued: u32,
}

impl RunnerLimits {
    pub(super) fn new(initial: u32) -> Self {
        let sequences = f64::from(initial.max(1));
        Self {
            sequences,
            tokens: sequences * INITIAL_TOKENS_PER_SEQUENCE,
            last_reduction: MonoTime::ZERO,
            next_increase: MonoTime::ZERO,
            max_running: 0.0,
            consecutive_queued: 0,
        }
    }

    pub(super) fn sequences(&self) -> u32 {
        self.sequences as u32
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens as u64
    }

    /// Moves the sequence limit towards `ideal`, which the observed rates
    /// allow. Each increase also raises the token limit.
    pub(super) fn adapt(&mut self, now: MonoTime, ideal: f64, load: usize) {
        let ideal = ideal.clamp(1.0, MAX_SEQUENCES);
        if ideal < self.sequences {
            self.reduce(now, ideal);
            return;
        }
        let busy = load as f64 >= GROWTH_MIN_UTILIZATION * self.sequences;
        if !busy || now < self.next_increase {
            return;
        }
        self.next_increase = now + INCREASE_INTERVAL;
        self.sequences = (self.sequences + 1.0).min(ideal);
        self.tokens = (self.tokens * TOKEN_GROWTH).min(MAX_TOKENS);
    }

    /// Applies a report of the engine's own queue. Older reports have less
    /// weight.
    pub(super) fn apply_report(&mut self, now: MonoTime, report: &LoadReport) {
        let running = f64::from(report.running);
        self.max_running = self.max_running.max(running);
        if report.age >= MAX_REPORT_AGE {
            return;
        }
        if report.queued <= NORMAL_QUEUE {
            self.consecutive_queued = 0;
            return;
        }
        self.consecutive_queued += 1;
        if self.consecutive_queued < REPORTS_BEFORE_REDUCTION {
            return;
        }
        self.next_increase = now + NO_INCREASE_AFTER_QUEUE;
        let weight = 1.0 - report.age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        let used_tokens = report.tokens as f64;
        if used_tokens > 0.0 && running < FULL_CACHE_SHARE * self.max_running {
            self.tokens += weight * (used_tokens - self.tokens).min(0.0);
        } else {
            self.sequences += weight * (running - self.sequences).min(0.0);
            self.sequences = self.sequences.max(1.0);
        }
    }

    fn reduce(&mut self, now: MonoTime, ideal: f64) {
        if now.since(self.last_reduction) < REDUCTION_INTERVAL {
            return;
        }
        self.last_reduction = now;
        self.next_increase = now + INCREASE_INTERVAL;
        self.sequences = ideal.max(self.sequences * MIN_REDUCTION_FACTOR).max(1.0);
    }
}
