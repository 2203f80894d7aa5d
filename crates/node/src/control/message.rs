//! Messages between the workers and the control thread.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::{
    ids::{ClassName, Epoch, PoolId, RequestId, RunnerName, Tier, WorkspaceName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::{BlockHash, DispatchEnd, Target},
};
use tokio::sync::mpsc::UnboundedSender;

/// A request that a worker has received completely and validated.
#[derive(Debug)]
pub struct Submission {
    /// Id that the worker assigned to the request.
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
    /// True if the request may be executed more than once.
    pub idempotent: bool,
    /// Idempotency key of the caller with the request's digest, if any.
    pub key: Option<CallerKey>,
    /// Prompt length in tokens; zero for a plain service.
    pub prefill_tokens: u32,
    /// Limit on generated tokens that the caller set, if any.
    pub max_decode_tokens: Option<u32>,
    /// Chained hashes of the prompt's blocks.
    pub prefix: Vec<BlockHash>,
    /// Body size in bytes.
    pub body_bytes: u32,
    /// Channel for the decisions on this request.
    pub decisions: UnboundedSender<Decision>,
}

/// Idempotency key that a caller gave to a request.
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
    /// Send the request to this runner now. Repeated only after the worker has
    /// reported [`Progress::NotSent`].
    Dispatch {
        /// The runner's name.
        runner: RunnerName,
        /// The runner's address.
        address: SocketAddr,
        /// The owner's epoch, for upstreams that check fencing tokens.
        epoch: Epoch,
    },
    /// Respond to the caller that the request was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Respond to the caller that the request may have run in an earlier attempt.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// The same request was dispatched by a host that is down: fetch the response
    /// from its runner, without executing the request again.
    Resume {
        /// Id of the first request.
        id: RequestId,
        /// The runner's name.
        runner: RunnerName,
        /// The runner's address.
        address: SocketAddr,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// The request repeats an earlier one: read the recorded response of that one.
    Attach {
        /// Id of the first request.
        id: RequestId,
        /// Peer address of the host that holds the recording; none for this host.
        holder: Option<SocketAddr>,
    },
}

/// Progress of a request as its worker observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The dispatch did not run the request: nothing was sent to the runner, or
    /// the runner declared that it did not execute the request. The request is
    /// requeued, and the worker waits for the next decision or withdraws the
    /// request with [`Progress::CallerGone`].
    NotSent(RetryReason),
    /// The first token of a streamed response arrived.
    FirstToken,
    /// The runner's response says that the runner is leaving.
    RunnerLeaving,
    /// The dispatch ended.
    Ended(DispatchEnd),
    /// The request is withdrawn while it waits: the caller disconnected, or the
    /// worker has ended the request as not run.
    CallerGone,
}

impl Progress {
    /// All kinds of progress, as labels of metrics.
    pub const KINDS: [&'static str; 5] =
        ["not-sent", "first-token", "runner-leaving", "ended", "caller-gone"];

    /// Returns the kind of progress, as a label of metrics.
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
