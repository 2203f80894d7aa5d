//! Types of the read-only views of a pool.

use std::time::Duration;

use crate::{
    ids::{RunnerName, Tier},
    time::MonoTime,
};

use super::request::LengthClass;

/// Waiting requests of one tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TierView {
    /// The tier.
    pub tier: Tier,
    /// Waiting requests.
    pub waiting: usize,
    /// Waiting requests with a long prompt.
    pub waiting_long: usize,
}

/// A runner with its load, limits and learned rates.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// The runner's name.
    pub name: RunnerName,
    /// True if the runner is leaving and gets no new requests.
    pub leaving: bool,
    /// True if the runner is paused after a failure.
    pub paused: bool,
    /// Requests that this owner granted to the runner.
    pub in_progress: u32,
    /// Estimated sequences that this owner did not grant, from load reports.
    pub external_sequences: u32,
    /// Learned limit on sequences.
    pub sequence_limit: u32,
    /// Cache tokens of the requests in progress.
    pub tokens: u64,
    /// Learned limit on cache tokens.
    pub token_limit: u64,
    /// Learned prefill time per token.
    pub prefill_per_token: Duration,
    /// Expected time between tokens at the current load.
    pub between_tokens: Duration,
    /// Expected time until all pending prompts are prefilled.
    pub wait: Duration,
    /// Prompts that were granted but not prefilled yet.
    pub pending_prefill: usize,
}

/// Values that determine the order of a request in its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Its tier.
    pub tier: Tier,
    /// Its length class.
    pub length: LengthClass,
    /// Latest start on an average runner. Among workspaces within their share,
    /// the earliest latest start goes first.
    pub latest_start: MonoTime,
    /// Time at which it is refused if it still waits.
    pub unreachable_at: MonoTime,
    /// Its work in prefill-token equivalents.
    pub work: u64,
}

/// State and rank of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Its rank.
    pub rank: Rank,
    /// Its state.
    pub state: RequestState,
}

/// State of a request in the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// The request waits.
    Waiting(WaitCause),
    /// The request is granted, but its entry has not used the grant yet.
    Granted(Option<RunnerName>),
    /// The request was dispatched to a runner.
    Dispatched(Option<RunnerName>),
}

/// Reason why a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// The pool has no runner.
    NoRunner,
    /// It is deferred for the runner that caches its prefix, because waiting
    /// costs less than prefilling on another runner.
    Prefix,
    /// No runner has capacity for its tier and length class.
    NoCapacity,
    /// Its workspace has used more than its share.
    OverShare,
    /// Requests of its tier with less slack, or of higher tiers, go first.
    LowerRank,
}

/// Sizes of a pool's collections. All of them are bounded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSizes {
    /// Waiting requests.
    pub waiting: usize,
    /// Bytes of the bodies of waiting requests, held by their entries.
    pub waiting_bytes: u64,
    /// Granted requests that have not ended.
    pub in_progress: usize,
    /// Timers: at most two per waiting request, one per granted request and one
    /// per runner.
    pub timers: usize,
    /// Hints on which runner caches which prefix.
    pub prefix_hints: usize,
    /// Tracked workspaces, summed over all queues.
    pub workspaces: usize,
}
