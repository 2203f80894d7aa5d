//! Effects that an entry asks for.

use std::time::Duration;

use crate::{
    ids::{HostId, PoolId, RequestId, RunnerName},
    outcome::NotRunReason,
    pool::PoolInput,
    time::MonoTime,
};

/// An effect of one decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAction {
    /// Send an event to the owner of a pool.
    Tell {
        /// The owner.
        owner: HostId,
        /// The pool.
        pool: PoolId,
        /// The event.
        input: PoolInput,
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
    },
    /// Tell the caller that the request was not run.
    AnswerNotRun {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Call [`super::Entry::handle`] with [`super::EntryInput::Tick`] at this time.
    SetTimer(MonoTime),
}
