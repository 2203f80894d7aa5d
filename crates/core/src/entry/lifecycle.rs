//! Typestate of one request at its entry.

use std::time::Duration;

use crate::{
    ids::{PoolId, RunnerName},
    owner::Submission,
    request::{Grant, RequestRecord},
    time::MonoTime,
};

/// A request that waits for a grant. No upstream has executed it.
#[derive(Debug)]
pub struct Waiting {
    submission: Submission,
    pool: PoolId,
    arrived: MonoTime,
    failed_dispatches: u8,
}

/// A request that may have reached an upstream.
#[derive(Debug)]
pub struct Dispatched {
    waiting: Waiting,
    runner: RunnerName,
}

impl Waiting {
    /// Creates the waiting state of a received request.
    #[must_use]
    pub fn new(submission: Submission, pool: PoolId, arrived: MonoTime) -> Self {
        Self { submission, pool, arrived, failed_dispatches: 0 }
    }

    /// The request.
    #[must_use]
    pub fn record(&self) -> &RequestRecord {
        &self.submission.record
    }

    /// The pool that serves it.
    #[must_use]
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Number of dispatches that did not run the request.
    #[must_use]
    pub fn failed_dispatches(&self) -> u8 {
        self.failed_dispatches
    }

    /// True if the request must run at most once.
    #[must_use]
    pub fn at_most_once(&self) -> bool {
        self.submission.identity.as_ref().is_some_and(|identity| !identity.idempotent)
    }

    /// Time at which the request's target ends.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        let record = &self.submission.record;
        self.arrived + record.target.limit().saturating_sub(record.age)
    }

    /// The request with its age at `now`.
    #[must_use]
    pub fn submission(&self, now: MonoTime) -> Submission {
        let mut submission = self.submission.clone();
        submission.record.age += now.since(self.arrived);
        submission
    }

    /// Uses a grant. Consumes the waiting state, so that a request is dispatched
    /// at most once.
    #[must_use]
    pub fn dispatch(self, grant: &Grant) -> Dispatched {
        Dispatched { waiting: self, runner: grant.runner.clone() }
    }
}

impl Dispatched {
    /// The request.
    #[must_use]
    pub fn record(&self) -> &RequestRecord {
        self.waiting.record()
    }

    /// The pool that serves it.
    #[must_use]
    pub fn pool(&self) -> &PoolId {
        &self.waiting.pool
    }

    /// The runner that the request was sent to.
    #[must_use]
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }

    /// The request with its age at `now`.
    #[must_use]
    pub fn submission(&self, now: MonoTime) -> Submission {
        self.waiting.submission(now)
    }

    /// Returns to the waiting state after a failed dispatch.
    ///
    /// Only allowed with proof that no upstream executed the request, such as a
    /// refused connection.
    #[must_use]
    pub fn requeue(self) -> Waiting {
        let failed_dispatches = self.waiting.failed_dispatches.saturating_add(1);
        Waiting { failed_dispatches, ..self.waiting }
    }

    /// Time since the request arrived.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Duration {
        now.since(self.waiting.arrived)
    }
}
