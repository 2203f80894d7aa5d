//! Course of each request in a run.

use std::time::Duration;

use comfreyway_core::{outcome::NotRunReason, request::Target, time::MonoTime};

use super::workload::Arrival;

/// Times, cache use and end of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTimeline {
    /// Time at which the request was sent to an engine.
    pub(crate) dispatched_at: Option<MonoTime>,
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Prompt tokens cached at that engine.
    pub(crate) cached_tokens: u32,
    /// Prompt tokens cached at the best engine at the time of admission.
    pub(crate) best_cached_tokens: u32,
    /// True once the engine has admitted the request.
    pub(crate) admitted: bool,
    /// Arrival time of the first token.
    pub(crate) first_token_at: Option<MonoTime>,
    /// Arrival time of the latest token.
    pub(crate) last_token_at: MonoTime,
    /// Arrival time of the end of the response.
    pub(crate) completed_at: Option<MonoTime>,
    /// True if the engine crashed.
    pub(crate) failed: bool,
    /// Reason of the refusal.
    pub(crate) refused: Option<NotRunReason>,
}

impl RequestTimeline {
    /// Returns the time from arrival to the first token.
    #[must_use]
    pub(crate) fn first_token(&self, arrival: &Arrival) -> Option<Duration> {
        self.first_token_at.map(|first| first.since(arrival.at))
    }

    /// Returns whether the whole response arrived within the target.
    #[must_use]
    pub(crate) fn met_target(&self, arrival: &Arrival) -> bool {
        let (Some(first), Some(ended)) = (self.first_token_at, self.completed_at) else {
            return false;
        };
        match arrival.record.target {
            Target::Whole(limit) => ended.since(arrival.at) <= limit,
            Target::Stream { first_token, between_tokens } => {
                let gaps = arrival.decode_tokens.saturating_sub(1).max(1);
                let between = ended.since(first) / gaps;
                first.since(arrival.at) <= first_token && between <= between_tokens
            }
        }
    }

    /// Returns the number of prompt tokens that the engine prefilled.
    #[must_use]
    pub(crate) fn prefilled_tokens(&self, arrival: &Arrival) -> u32 {
        if self.admitted { arrival.record.prefill_tokens - self.cached_tokens } else { 0 }
    }

    /// Returns the prompt tokens prefilled for a response outside its target.
    #[must_use]
    pub(crate) fn missed_tokens(&self, arrival: &Arrival) -> u32 {
        if self.met_target(arrival) { 0 } else { self.prefilled_tokens(arrival) }
    }

    /// Returns the prompt tokens prefilled for a response within its target
    /// although another engine had them cached.
    #[must_use]
    pub(crate) fn repeated_tokens(&self, arrival: &Arrival) -> u32 {
        let repeated = self.best_cached_tokens.saturating_sub(self.cached_tokens);
        if self.met_target(arrival) { repeated } else { 0 }
    }
}
