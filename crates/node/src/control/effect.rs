//! What leaves the control thread after a decision.

use std::time::Duration;

use comfreyway_core::{
    entry::EntryInput,
    ids::{HostId, PoolId, RequestId, RunnerName},
    outcome::NotRunReason,
    pool::PoolInput,
    time::MonoTime,
};

/// An input for the entry or a pool of another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RemoteInput {
    /// For the entry.
    Entry(EntryInput),
    /// For a pool that the host owns.
    Pool(PoolId, PoolInput),
}

/// What leaves the control thread after a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Let the request's worker send it to the runner.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The pool.
        pool: PoolId,
        /// The runner.
        runner: RunnerName,
    },
    /// Let the request's worker answer that it was not run.
    NotRun {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Send an input to another host.
    Remote {
        /// The host.
        to: HostId,
        /// The input.
        input: RemoteInput,
    },
    /// Call [`super::decisions::Decisions::tick`] at this time.
    WakeAt(MonoTime),
}
