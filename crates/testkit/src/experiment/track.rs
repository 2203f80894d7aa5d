//! What became of each request of a run.

use std::time::Duration;

use comfreyway_core::{outcome::NotRunReason, request::Target, time::MonoTime};

use super::workload::Arrival;

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Track {
    /// When it was sent to an engine.
    pub(crate) dispatched: Option<MonoTime>,
    /// Position of the engine.
    pub(crate) engine: usize,
    /// Cached prompt tokens at that engine.
    pub(crate) cached: u32,
    /// Cached prompt tokens at the best engine at that time.
    pub(crate) cached_anywhere: u32,
    /// True once its prefill has begun.
    pub(crate) admitted: bool,
    /// When the first token arrived.
    pub(crate) first: Option<MonoTime>,
    /// When the latest token arrived.
    pub(crate) latest: MonoTime,
    /// When the answer was whole.
    pub(crate) ended: Option<MonoTime>,
    /// True if the engine was lost.
    pub(crate) failed: bool,
    /// Why it was refused.
    pub(crate) refused: Option<NotRunReason>,
}

impl Track {
    /// Time from arrival to the first token.
    #[must_use]
    pub(crate) fn first_token(&self, arrival: &Arrival) -> Option<Duration> {
        self.first.map(|first| first.since(arrival.at))
    }

    /// True if the whole answer arrived within the target.
    #[must_use]
    pub(crate) fn is_good(&self, arrival: &Arrival) -> bool {
        let (Some(first), Some(ended)) = (self.first, self.ended) else { return false };
        match arrival.record.target {
            Target::Whole(limit) => ended.since(arrival.at) <= limit,
            Target::Stream { first_token, between_tokens } => {
                let gaps = arrival.decode_tokens.saturating_sub(1).max(1);
                let between = ended.since(first) / gaps;
                first.since(arrival.at) <= first_token && between <= between_tokens
            }
        }
    }

    /// Prompt tokens that the engine processed.
    #[must_use]
    pub(crate) fn prefilled(&self, arrival: &Arrival) -> u32 {
        if self.admitted { arrival.record.prefill_tokens - self.cached } else { 0 }
    }

    /// Prompt tokens prefilled for an answer that missed its target.
    #[must_use]
    pub(crate) fn missed(&self, arrival: &Arrival) -> u32 {
        if self.is_good(arrival) { 0 } else { self.prefilled(arrival) }
    }

    /// Prompt tokens prefilled for a good answer though another engine had them
    /// cached.
    #[must_use]
    pub(crate) fn repeated(&self, arrival: &Arrival) -> u32 {
        let repeated = self.cached_anywhere.saturating_sub(self.cached);
        if self.is_good(arrival) { repeated } else { 0 }
    }
}
