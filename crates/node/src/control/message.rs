//! Messages between the traffic workers and the control thread.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::{
    ids::{ClassName, Epoch, PoolId, RequestId, RunnerName, Tier, WorkspaceName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::{BlockHash, DispatchEnd, Target},
};
use tokio::sync::mpsc::UnboundedSender;

/// A request that a worker received whole and checked.
#[derive(Debug)]
pub struct Submission {
    /// Identity that the worker gave to the request.
    pub id: RequestId,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub class: ClassName,
    /// Tier of the class.
    pub tier: Tier,
    /// Target of the class.
    pub target: Target,
    /// True if the request may be repeated without harm.
    pub idempotent: bool,
    /// Identity that the caller gave, and the digest of the body.
    pub key: Option<CallerKey>,
    /// Prompt length in tokens; zero for a plain service.
    pub prefill_tokens: u32,
    /// Limit on generated tokens that the caller set, if any.
    pub max_decode_tokens: Option<u32>,
    /// Chained hashes of the prompt's blocks.
    pub prefix: Vec<BlockHash>,
    /// Body size in bytes.
    pub body_bytes: u32,
    /// Where the decisions on this request go.
    pub decisions: UnboundedSender<Decision>,
}

/// Identity that a caller gave to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerKey {
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: [u8; 32],
}

/// A decision on a submitted request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to this runner now. Comes again only after the worker
    /// reported [`Progress::NotSent`].
    Dispatch {
        /// The runner's name.
        runner: RunnerName,
        /// The runner's address.
        address: SocketAddr,
        /// The owner's epoch, for upstreams that check fencing numbers.
        epoch: Epoch,
    },
    /// Answer the caller: the request was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Answer the caller: the request may have run under an earlier attempt.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// The same request was dispatched by a host that is gone: ask its runner
    /// for the answer. Runs nothing anew.
    Resume {
        /// Identity of the first request.
        id: RequestId,
        /// The runner's name.
        runner: RunnerName,
        /// The runner's address.
        address: SocketAddr,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// The same request is known: its answer is at this peer.
    Attach {
        /// Identity of the first request.
        id: RequestId,
        /// Peer address of the host that holds the answer; none for this host.
        holder: Option<SocketAddr>,
    },
}

/// What a worker observed of its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The connection failed before any byte was sent. The request waits again
    /// and the worker waits for the next decision.
    NotSent(RetryReason),
    /// The first token of a streamed answer arrived.
    FirstToken,
    /// The runner said in its answer that it is leaving.
    RunnerLeaving,
    /// The dispatch ended.
    Ended(DispatchEnd),
    /// The caller left while the request was waiting.
    CallerGone,
}

impl Progress {
    /// Every kind of progress, as it stands in metrics.
    pub const KINDS: [&'static str; 5] =
        ["not-sent", "first-token", "runner-leaving", "ended", "caller-gone"];

    /// The kind of the progress as it stands in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::FirstToken => "first-token",
            Self::RunnerLeaving => "runner-leaving",
            Self::Ended(_) => "ended",
            Self::CallerGone => "caller-gone",
        }
    }
}
