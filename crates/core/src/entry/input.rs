//! Events that an entry decides on.

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId},
    outcome::RetryReason,
    owner::{OwnerEvent, Submission},
    request::DispatchEnd,
};

/// Who owns a pool, as this host knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerView {
    /// The owner, or none while nobody is known to serve the pool.
    pub owner: Option<HostId>,
    /// Highest epoch seen for the pool.
    pub epoch: Epoch,
}

/// One event for the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryInput {
    /// A request was received whole and checked.
    Received {
        /// The request.
        submission: Submission,
        /// The pool that serves it.
        pool: PoolId,
    },
    /// An owner told something.
    OwnerEvent {
        /// The owner.
        owner: HostId,
        /// The pool.
        pool: PoolId,
        /// Term of the owner.
        epoch: Epoch,
        /// The event.
        event: OwnerEvent,
    },
    /// The connection to the runner failed before any byte was sent.
    NotSent {
        /// The request.
        id: RequestId,
        /// How the connection failed.
        reason: RetryReason,
    },
    /// The first token or byte arrived.
    FirstToken(RequestId),
    /// The runner of a dispatched request said that it is leaving.
    RunnerLeaving(RequestId),
    /// The dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: DispatchEnd,
    },
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// The owner of a pool changed, or the link to it was made again.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        view: OwnerView,
    },
    /// A host can't be reached.
    HostDown(HostId),
    /// This host is stopping: it takes no more requests.
    Stop,
    /// A timer that was asked for is due.
    Tick,
}
