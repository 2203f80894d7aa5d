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
    /// Grants given, repeated ones included.
    pub granted: u64,
    /// Requests refused, by tier and reason.
    pub refused: BTreeMap<(Tier, NotRunReason), u64>,
    /// Grants that came back, by reason.
    pub returned: BTreeMap<RetryReason, u64>,
    /// Dispatches that ended with a whole answer.
    pub completed: u64,
    /// Dispatches that failed or were cancelled.
    pub failed_or_cancelled: u64,
    /// Prompt tokens expected to be found in a runner's cache.
    pub expected_cached_tokens: u64,
    /// Prompt tokens that engines took from their cache.
    pub cached_tokens: u64,
    /// Error of the expected time to the first token, in milliseconds.
    pub first_token_error_ms: Estimate,
    /// Error of the expected number of generated tokens.
    pub decode_error_tokens: Estimate,
}

impl PoolCounters {
    pub(super) fn refuse(&mut self, tier: Tier, reason: NotRunReason) {
        *self.refused.entry((tier, reason)).or_default() += 1;
    }

    pub(super) fn give_back(&mut self, reason: RetryReason) {
        *self.returned.entry(reason).or_default() += 1;
    }
}
