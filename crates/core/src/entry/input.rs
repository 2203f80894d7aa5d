//! Events that an entry decides on.

use std::time::Duration;

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId},
    outcome::{NotRunReason, RetryReason},
    request::{DispatchEnd, Grant, RequestRecord},
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
        record: RequestRecord,
        /// The pool that serves it.
        pool: PoolId,
    },
    /// A grant arrived from a pool's owner.
    Granted {
        /// The pool.
        pool: PoolId,
        /// The permission.
        grant: Grant,
    },
    /// The owner refused a request.
    Refused {
        /// Epoch of the owner that refused.
        epoch: Epoch,
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
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
    /// The owner of a pool changed.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The new owner.
        view: OwnerView,
    },
    /// A timer that was asked for is due.
    Tick,
}
