//! Read-only views for status pages and operators.

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

/// A runner with what was learned of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// The runner's name.
    pub name: RunnerName,
    /// True if the runner gets no new work.
    pub leaving: bool,
    /// True if the runner is paused after a failure.
    pub paused: bool,
    /// Requests that this owner granted to the runner.
    pub in_progress: u32,
    /// Sequences that others sent, as far as reports show.
    pub external_sequences: u32,
    /// Learned limit in sequences.
    pub sequence_limit: u32,
    /// Cache tokens of the requests in progress.
    pub tokens: u64,
    /// Learned limit in cache tokens.
    pub token_limit: u64,
    /// Learned prefill time per token.
    pub prefill_per_token: Duration,
    /// Expected time between tokens at the present load.
    pub between_tokens: Duration,
    /// Expected time until the prompts sent so far are prefilled.
    pub wait: Duration,
    /// Prompts sent but not yet prefilled.
    pub pending_prefill: usize,
}

/// Rank of a request among the others of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Its tier.
    pub tier: Tier,
    /// Its length class.
    pub length: LengthClass,
    /// Latest start on an average runner; the least goes first within its
    /// workspace's share.
    pub latest_start: MonoTime,
    /// When it is refused if it still waits.
    pub unreachable_at: MonoTime,
    /// Its work in prefill-token equivalents.
    pub work: u64,
}

/// Where a request stands and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Its rank.
    pub rank: Rank,
    /// Where it stands.
    pub state: RequestState,
}

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// The request waits.
    Waiting(WaitCause),
    /// The request has a grant that its entry has not used yet.
    Granted(Option<RunnerName>),
    /// The request was sent to a runner.
    Dispatched(Option<RunnerName>),
}

/// What a waiting request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// The pool has no runner.
    NoRunner,
    /// A runner has its prefix, and waiting for it takes less time than
    /// prefilling elsewhere.
    Prefix,
    /// No runner has room for its tier and length.
    NoRoom,
    /// Its workspace has used more than its share.
    OverShare,
    /// Other requests of its tier have less slack.
    LessSlackFirst,
}

/// Sizes of a pool's state, all of them bounded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSizes {
    /// Waiting requests.
    pub waiting: usize,
    /// Bytes of the bodies of waiting requests, held by their entries.
    pub waiting_bytes: u64,
    /// Granted requests whose end is not known.
    pub in_progress: usize,
    /// Timers, at most one per request and runner.
    pub timers: usize,
    /// Hints on cached prefixes.
    pub prefix_hints: usize,
    /// Workspaces with a remembered share, over all queues.
    pub workspaces: usize,
}
