//! Actions requested by an entry.

use std::time::Duration;

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId, RunnerName},
    outcome::{NotRunReason, UnknownReason},
    owner::EntryEvent,
    time::MonoTime,
};

/// Action requested by [`super::Entry::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAction {
    /// Send an event to the owner of a pool.
    SendToOwner {
        /// The owner.
        owner: HostId,
        /// The pool.
        pool: PoolId,
        /// Highest epoch that this entry has seen for the pool.
        epoch: Epoch,
        /// Time of sending by this entry's clock, which the owner returns with
        /// grants.
        sent_at: MonoTime,
        /// The event.
        event: EntryEvent,
    },
    /// Send the request to the runner now. Requested at most once per request,
    /// unless [`super::EntryInput::NotSent`] reported that it did not run.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The pool.
        pool: PoolId,
        /// The runner.
        runner: RunnerName,
        /// Epoch of the grant.
        epoch: Epoch,
    },
    /// Respond to the caller that the request was not run.
    RespondNotRun {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Respond to the caller that the request may have run before.
    RespondUnknown {
        /// The request.
        id: RequestId,
        /// Why.
        reason: UnknownReason,
    },
    /// Respond to the caller with the response of an earlier request.
    Attach {
        /// The request.
        id: RequestId,
        /// The earlier request.
        first: RequestId,
        /// The host that holds the earlier request.
        holder: HostId,
    },
    /// Call [`super::Entry::handle`] with [`super::EntryInput::Tick`] at this time.
    SetTimer(MonoTime),
}
