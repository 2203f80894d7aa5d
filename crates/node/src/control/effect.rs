//! Actions of [`Decisions`] that need I/O.
//!
//! [`Decisions`]: super::decisions::Decisions

use std::time::Duration;

use comfreyway_core::{
    ids::{Epoch, HostId, PoolId, RequestId, RunnerName},
    outcome::{NotRunReason, UnknownReason},
    time::MonoTime,
};
use comfreyway_proto::peer::PeerMessage;

/// An action of [`Decisions`](super::decisions::Decisions) that needs I/O.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Make the request's worker send it to the runner.
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
    /// Make the request's worker respond that it was not run.
    RespondNotRun {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Make the request's worker respond that it may have run.
    RespondUnknown {
        /// The request.
        id: RequestId,
        /// Why.
        reason: UnknownReason,
    },
    /// Make the request's worker read the recorded response of an earlier request.
    Attach {
        /// The request.
        id: RequestId,
        /// The earlier request.
        first: RequestId,
        /// The host that holds the earlier request.
        holder: HostId,
    },
    /// Send a message to another host.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The standby of an owned pool has every claim.
    StandbyReady {
        /// The pool.
        pool: PoolId,
        /// The standby.
        host: HostId,
    },
    /// Call [`super::decisions::Decisions::tick`] at this time.
    SetTimer(MonoTime),
}
