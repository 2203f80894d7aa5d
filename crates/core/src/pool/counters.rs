//! Counters of a pool's decisions.

use std::collections::BTreeMap;

use crate::{
    ids::Tier,
    outcome::{NotRunReason, RetryReason},
};

use super::estimate::Estimate;

/// Counters of a pool's decisions since its owner started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolCounters {
    /// Requests submitted.
    pub submitted: u64,
    /// Grants sent, including repeated ones.
    pub granted: u64,
    /// Requests refused, by tier and reason.
    pub refused: BTreeMap<(Tier, NotRunReason), u64>,
    /// Grants returned unused, by reason.
    pub returned: BTreeMap<RetryReason, u64>,
    /// Dispatches that ended with a complete response.
    pub completed: u64,
    /// Dispatches that failed or were cancelled.
    pub failed_or_cancelled: u64,
    /// Prompt tokens that were expected to be cached at the granted runner.
    pub expected_cached_tokens: u64,
    /// Prompt tokens that engines took from their prefix cache.
    pub cached_tokens: u64,
    /// Prediction error of the time to the first token, in milliseconds.
    pub first_token_error_ms: Estimate,
    /// Prediction error of the number of generated tokens.
    pub decode_error_tokens: Estimate,
}

impl PoolCounters {
    pub(super) fn count_refused(&mut self, tier: Tier, reason: NotRunReason) {
        *self.refused.entry((tier, reason)).or_default() += 1;
    }

    pub(super) fn count_returned(&mut self, reason: RetryReason) {
        *self.returned.entry(reason).or_default() += 1;
    }
}
