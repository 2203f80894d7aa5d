//! Settings of an engine.

use std::time::Duration;

/// Speed, limits and supported features of an engine. By default, speed is
/// unlimited.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub(super) rates: Rates,
    pub(super) max_batch: usize,
    pub(super) cache_tokens: usize,
    pub(super) load_lag: Duration,
    pub(super) cache_lag: Duration,
    pub(super) cache_gap: Option<u64>,
    pub(super) checks_fencing: bool,
    pub(super) resumes: bool,
}

/// Speeds in tokens per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates {
    pub(super) prefill: f64,
    pub(super) decode: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            rates: Rates { prefill: f64::INFINITY, decode: f64::INFINITY },
            max_batch: 64,
            cache_tokens: 1 << 20,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gap: None,
            checks_fencing: false,
            resumes: true,
        }
    }
}

impl EngineSettings {
    /// An engine with unlimited speed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the speed of prefill, shared by the batch, and of decode, for each
    /// sequence of the batch, in tokens per second.
    #[must_use]
    pub fn with_rates(mut self, prefill: f64, decode: f64) -> Self {
        self.rates = Rates { prefill, decode };
        self
    }

    /// Sets the largest number of sequences in the batch.
    #[must_use]
    pub fn with_max_batch(mut self, sequences: usize) -> Self {
        self.max_batch = sequences;
        self
    }

    /// Sets the capacity of the prefix cache in tokens.
    #[must_use]
    pub fn with_cache_tokens(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets the age of reported loads.
    #[must_use]
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets the age from which cache events are reported. Every `gap`-th event is
    /// lost.
    #[must_use]
    pub fn with_cache_events(mut self, lag: Duration, gap: Option<u64>) -> Self {
        self.cache_lag = lag;
        self.cache_gap = gap;
        self
    }

    /// Sets whether requests and orders with an old fencing token are refused.
    #[must_use]
    pub fn with_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets whether an interrupted stream can be resumed.
    #[must_use]
    pub fn with_resume(mut self, resumes: bool) -> Self {
        self.resumes = resumes;
        self
    }
}
