//! Trace record of one request.

use std::time::Duration;

use comfreyway_core::{
    ids::{ClassName, PoolId, RequestId, RunnerName, WorkspaceName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::Target,
};

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TraceStep {
    /// The pool's owner selected a runner.
    Granted(RunnerName),
    /// The request is sent to the runner.
    Dispatched,
    /// Nothing was sent; the request was requeued.
    Requeued(RetryReason),
    /// The first byte of the response arrived.
    FirstByte,
    /// The caller gets the response to an earlier request with the same
    /// idempotency key.
    Repeated,
    /// The response is complete.
    Answered,
    /// The request was not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A step with its time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceEntry {
    /// Time since the request arrived.
    pub after: Duration,
    /// What happened.
    pub step: TraceStep,
}

/// Trace record of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceRecord {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub class: ClassName,
    /// Target of the class at the time of arrival.
    pub target: Target,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The steps in chronological order.
    pub steps: Vec<TraceEntry>,
}

impl TraceRecord {
    /// Returns true if the first byte of the response, or for a target on the
    /// whole response its end, arrived within the target.
    pub(super) fn in_target(&self) -> bool {
        let measured = |entry: &&TraceEntry| match self.target {
            Target::Stream { .. } => entry.step == TraceStep::FirstByte,
            Target::Whole(_) => entry.step == TraceStep::Answered,
        };
        let entry = self.steps.iter().find(measured);
        entry.is_some_and(|entry| entry.after <= self.target.limit())
    }
}
