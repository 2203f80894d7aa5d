//! Effects that an entry asks for.

use std::time::Duration;

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId, RunnerName},
    outcome::{NotRunReason, UnknownReason},
    owner::EntryEvent,
    time::MonoTime,
};

/// An effect of one decision.
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
        /// This entry's time, which comes back with grants.
        sent_at: MonoTime,
        /// The event.
        event: EntryEvent,
    },
    /// Send the request to the runner now. Given at most once per request,
    /// unless [`super::EntryInput::NotSent`] proved that nothing was sent.
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
    /// Tell the caller that the request was not run.
    RespondNotRun {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Tell the caller that the request may have run before.
    RespondUnknown {
        /// The request.
        id: RequestId,
        /// Why.
        reason: UnknownReason,
    },
    /// Give the caller the answer of an earlier request.
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
