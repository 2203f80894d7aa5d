//! The record of one request.

use std::time::Duration;

use comfreyway_core::{
    ids::{ClassName, PoolId, RequestId, RunnerName, WorkspaceName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::Target,
};

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TraceStep {
    /// The pool's owner chose a runner for it.
    Granted(RunnerName),
    /// It went out to the runner.
    Dispatched,
    /// Nothing was sent; it waits again.
    WaitsAgain(RetryReason),
    /// The first byte of the answer arrived.
    FirstByte,
    /// Its caller gets the answer of an earlier request with its identity.
    Repeated,
    /// The answer is whole.
    Answered,
    /// It was not run.
    NotRun(NotRunReason),
    /// It may have run.
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

/// What is known of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceRecord {
    /// Identity of the request.
    pub id: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its class.
    pub class: ClassName,
    /// Target of the class when it arrived.
    pub target: Target,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The steps in order of time.
    pub steps: Vec<TraceEntry>,
}

impl TraceRecord {
    /// True if the answer's first byte, or the whole answer, came within the
    /// target.
    pub(super) fn in_target(&self) -> bool {
        let measured = |entry: &&TraceEntry| match self.target {
            Target::Stream { .. } => entry.step == TraceStep::FirstByte,
            Target::Whole(_) => entry.step == TraceStep::Answered,
        };
        let entry = self.steps.iter().find(measured);
        entry.is_some_and(|entry| entry.after <= self.target.limit())
    }
}
