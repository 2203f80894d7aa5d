//! Adaptive limits of one runner on sequences and cache tokens.
//!
//! A limit is reduced as soon as the runner is slower than the targets allow,
//! and grows by one sequence at a time while the runner is busy.

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
const LARGEST_CUT: f64 = 0.7;

/// Minimum time between two reductions.
const CUT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time from a reduction or an increase to the next increase.
const RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without increases after the engine reported a persistent queue.
const HOLD_AFTER_QUEUE: Duration = Duration::from_secs(10);

/// Share of the limit that must be in use before the limit grows.
const BUSY_SHARE: f64 = 0.8;

/// Share of the maximum of running sequences below which a queue in the engine
/// means that its cache memory is full.
const FULL_SHARE: f64 = 0.8;

/// Sequences that normally wait in the engine for its next step.
const USUAL_QUEUE: u32 = 2;

/// Consecutive reports of a longer queue after which a limit is reduced.
const QUEUED_REPORTS: u32 = 2;

/// Growth factor of the token limit per increase.
const TOKEN_GROWTH: f64 = 1.02;

/// Reports of this age or older don't change the limits.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Learned limits of one runner.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    sequences: f64,
    tokens: f64,
    last_cut: MonoTime,
    raise_at: MonoTime,
    /// Maximum of running sequences that the engine has reported.
    most_running: f64,
    /// Consecutive reports of a queue longer than [`USUAL_QUEUE`].
    queued_reports: u32,
}

impl Limit {
    pub(super) fn new(initial: u32) -> Self {
        let sequences = f64::from(initial.max(1));
        Self {
            sequences,
            tokens: sequences * INITIAL_TOKENS_PER_SEQUENCE,
            last_cut: MonoTime::ZERO,
            raise_at: MonoTime::ZERO,
            most_running: 0.0,
            queued_reports: 0,
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
    pub(super) fn follow(&mut self, now: MonoTime, ideal: f64, in_progress: usize) {
        let ideal = ideal.clamp(1.0, MAX_SEQUENCES);
        if ideal < self.sequences {
            self.cut(now, ideal);
            return;
        }
        let busy = in_progress as f64 >= BUSY_SHARE * self.sequences;
        if !busy || now < self.raise_at {
            return;
        }
        self.raise_at = now + RAISE_INTERVAL;
        self.sequences = (self.sequences + 1.0).min(ideal);
        self.tokens = (self.tokens * TOKEN_GROWTH).min(MAX_TOKENS);
    }

    /// Applies a report of the engine's own queue. Older reports have less
    /// weight.
    pub(super) fn report(&mut self, now: MonoTime, report: &LoadReport) {
        let running = f64::from(report.running);
        self.most_running = self.most_running.max(running);
        if report.age >= MAX_REPORT_AGE {
            return;
        }
        if report.queued <= USUAL_QUEUE {
            self.queued_reports = 0;
            return;
        }
        self.queued_reports += 1;
        if self.queued_reports < QUEUED_REPORTS {
            return;
        }
        self.raise_at = now + HOLD_AFTER_QUEUE;
        let weight = 1.0 - report.age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        let held = report.tokens as f64;
        if held > 0.0 && running < FULL_SHARE * self.most_running {
            self.tokens += weight * (held - self.tokens).min(0.0);
        } else {
            self.sequences += weight * (running - self.sequences).min(0.0);
            self.sequences = self.sequences.max(1.0);
        }
    }

    fn cut(&mut self, now: MonoTime, ideal: f64) {
        if now.since(self.last_cut) < CUT_INTERVAL {
            return;
        }
        self.last_cut = now;
        self.raise_at = now + RAISE_INTERVAL;
        self.sequences = ideal.max(self.sequences * LARGEST_CUT).max(1.0);
    }
}
