//! The small record that stands for a request between entry and pool owner.
//!
//! Fields have short names on the wire, because these messages go out for every
//! request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, Epoch, HostId, RequestId, RunnerName, Tier, WorkspaceName};

/// Hash of a chain of prompt blocks. Equal hashes mean equal prefixes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockHash(pub u64);

/// Targets of a request's class, as durations from its arrival at the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Target {
    /// A streamed answer: time to the first token, and between tokens.
    Stream {
        /// Longest time to the first token.
        first_token: Duration,
        /// Longest time between two tokens.
        between_tokens: Duration,
    },
    /// Longest time to the whole answer.
    Whole(Duration),
}

impl Target {
    /// Time within which the request has to start answering or be answered.
    #[must_use]
    pub fn limit(self) -> Duration {
        match self {
            Self::Stream { first_token, .. } => first_token,
            Self::Whole(limit) => limit,
        }
    }
}

/// What a pool owner knows of a waiting request. Holds no body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Identity of the request.
    pub id: RequestId,
    /// The host that holds the caller's connection and the body.
    #[serde(rename = "h")]
    pub entry: HostId,
    /// Workspace that the request belongs to.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// Class of the request.
    #[serde(rename = "c")]
    pub class: ClassName,
    /// Tier of the class at the time of arrival.
    #[serde(rename = "t")]
    pub tier: Tier,
    /// Target of the class at the time of arrival.
    #[serde(rename = "g")]
    pub target: Target,
    /// Time already spent since arrival, when the record was sent.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Prompt length in tokens; zero for a plain service.
    #[serde(rename = "pt")]
    pub prefill_tokens: u32,
    /// Limit on generated tokens that the caller set, if any.
    #[serde(rename = "md")]
    pub max_decode_tokens: Option<u32>,
    /// Chained hashes of the prompt's blocks, shortest prefix first.
    #[serde(rename = "px")]
    pub prefix: Vec<BlockHash>,
    /// Body size in bytes.
    #[serde(rename = "bb")]
    pub body_bytes: u32,
}

/// Permission to dispatch one request to one runner for a short time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The request.
    pub id: RequestId,
    /// The runner that the request may be sent to.
    #[serde(rename = "r")]
    pub runner: RunnerName,
    /// Epoch of the owner that gave the grant.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Time from receipt within which the request may be dispatched.
    #[serde(rename = "vf")]
    pub valid_for: Duration,
}

/// What the entry observed of a finished dispatch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens that the engine processed.
    #[serde(rename = "pt")]
    pub prefill_tokens: u32,
    /// Prompt tokens that the engine took from its prefix cache.
    #[serde(rename = "ct")]
    pub cached_tokens: u32,
    /// Tokens that the engine generated.
    #[serde(rename = "dt")]
    pub decode_tokens: u32,
    /// Time from dispatch to the first token; equal to `total` for an answer in
    /// one piece, which does not show it.
    #[serde(rename = "ft")]
    pub first_token: Duration,
    /// Time from dispatch to the end.
    #[serde(rename = "tt")]
    pub total: Duration,
}

/// How a dispatch ended, as the entry reports it to the owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DispatchEnd {
    /// The upstream answered to the end.
    Complete(Usage),
    /// The upstream failed or broke off after the dispatch.
    Failed,
    /// The stream was cancelled because its caller left.
    Cancelled,
}
