//! Inputs of an entry.

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId},
    outcome::RetryReason,
    owner::{OwnerEvent, Submission},
    request::DispatchEnd,
};

/// Owner of a pool as known to this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerView {
    /// The owner, or none while no owner is known.
    pub owner: Option<HostId>,
    /// Highest epoch seen for the pool.
    pub epoch: Epoch,
}

/// Input of [`super::Entry::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryInput {
    /// A request was received completely and validated.
    Received {
        /// The request.
        submission: Submission,
        /// The pool that serves it.
        pool: PoolId,
    },
    /// An event from the owner of a pool.
    OwnerEvent {
        /// The owner.
        owner: HostId,
        /// The pool.
        pool: PoolId,
        /// Epoch of the owner.
        epoch: Epoch,
        /// The event.
        event: OwnerEvent,
    },
    /// The dispatch did not run the request: nothing was sent to the runner, or
    /// the runner declared that it did not execute the request.
    NotSent {
        /// The request.
        id: RequestId,
        /// Why it did not run.
        reason: RetryReason,
    },
    /// The first token or byte arrived.
    FirstToken(RequestId),
    /// The runner of a dispatched request announced that it is leaving.
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
    /// The owner of a pool changed, or the session with it was established again.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        view: OwnerView,
    },
    /// A host is down.
    HostDown(HostId),
    /// This host is stopping and accepts no more requests.
    Stop,
    /// A requested timer is due.
    Tick,
}
