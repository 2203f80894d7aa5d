//! Messages about a request between its entry and the pool's owner.
//!
//! Fields have short names on the wire because these messages are sent for
//! every request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, Epoch, HostId, RequestId, RunnerName, Tier, WorkspaceName};

/// Hash of a prompt block and all blocks before it. Equal hashes mean equal
/// prefixes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockHash(pub u64);

/// Latency target of a request class, measured from arrival at the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Target {
    /// Target of a streamed response.
    Stream {
        /// Maximum time to the first token.
        first_token: Duration,
        /// Maximum time between two tokens.
        between_tokens: Duration,
    },
    /// Maximum time to the complete response.
    Whole(Duration),
}

impl Target {
    /// Returns the maximum time to the first token of a stream, or to the
    /// complete response otherwise.
    #[must_use]
    pub fn limit(self) -> Duration {
        match self {
            Self::Stream { first_token, .. } => first_token,
            Self::Whole(limit) => limit,
        }
    }
}

/// Metadata of a waiting request, sent to the pool's owner without the body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub id: RequestId,
    /// The request's entry: the host that accepted the request and holds the
    /// caller's connection and the body.
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
    /// Time between the request's arrival and the sending of this record.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Prompt length in tokens; zero for a plain HTTP service.
    #[serde(rename = "pt")]
    pub prefill_tokens: u32,
    /// The caller's limit on generated tokens, if any.
    #[serde(rename = "md")]
    pub max_decode_tokens: Option<u32>,
    /// Chained hashes of the prompt's blocks, shortest prefix first.
    #[serde(rename = "px")]
    pub prefix: Vec<BlockHash>,
    /// Tokens up to the end of each of these blocks; empty if they have the same length.
    #[serde(rename = "pk", default, skip_serializing_if = "Vec::is_empty")]
    pub prefix_tokens: Vec<u32>,
    /// The caller's estimate of the generated tokens, if any.
    #[serde(rename = "lh", default, skip_serializing_if = "Option::is_none")]
    pub length_hint: Option<u32>,
    /// Body size in bytes.
    #[serde(rename = "bb")]
    pub body_bytes: u32,
}

/// Permission to dispatch one request to one runner for a short time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Identifier of the request.
    pub id: RequestId,
    /// The runner that the request may be sent to.
    #[serde(rename = "r")]
    pub runner: RunnerName,
    /// Epoch of the owner that issued the grant.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Lifetime of the grant, counted from `entry_sent_at` of
    /// [`OwnerEvent::Granted`](crate::owner::OwnerEvent::Granted) by the entry's
    /// clock.
    #[serde(rename = "vf")]
    pub valid_for: Duration,
}

/// Token counts and timing of a finished dispatch, measured by the entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens, including cached ones.
    #[serde(rename = "pt")]
    pub prefill_tokens: u32,
    /// Prompt tokens that the engine read from its prefix cache.
    #[serde(rename = "ct")]
    pub cached_tokens: u32,
    /// Tokens that the engine generated.
    #[serde(rename = "dt")]
    pub decode_tokens: u32,
    /// Time from dispatch to the first token; equal to `total` for a response
    /// that is not streamed, where it can't be observed.
    #[serde(rename = "ft")]
    pub first_token: Duration,
    /// Time from dispatch to the end.
    #[serde(rename = "tt")]
    pub total: Duration,
    /// True if only the end of its connection ended the response, which a crash of the
    /// upstream looks like.
    #[serde(rename = "uc", default)]
    pub until_close: bool,
    /// True if the response is a failure of the upstream.
    #[serde(rename = "uf", default)]
    pub failed: bool,
}

/// Result of a dispatch, reported by the entry to the pool's owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DispatchEnd {
    /// The upstream sent a complete response.
    Complete(Usage),
    /// The upstream failed or disconnected after the dispatch.
    Failed,
    /// The stream was cancelled because the caller disconnected.
    Cancelled,
}
