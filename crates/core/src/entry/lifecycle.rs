//! Typestate of one request at its entry.

use crate::{
    ids::{PoolId, RunnerName},
    request::{Grant, RequestRecord},
    time::MonoTime,
};

/// A request that waits for a grant. No byte of it has left this host.
#[derive(Debug)]
pub struct Waiting {
    pub(super) record: RequestRecord,
    pub(super) pool: PoolId,
    pub(super) arrived: MonoTime,
}

/// A request that may have reached an upstream.
#[derive(Debug)]
pub struct Dispatched {
    pub(super) record: RequestRecord,
    pub(super) pool: PoolId,
    pub(super) arrived: MonoTime,
    pub(super) runner: RunnerName,
}

impl Waiting {
    /// Takes a received request into the waiting state.
    #[must_use]
    pub fn new(record: RequestRecord, pool: PoolId, arrived: MonoTime) -> Self {
        Self { record, pool, arrived }
    }

    /// The request.
    #[must_use]
    pub fn record(&self) -> &RequestRecord {
        &self.record
    }

    /// Uses a grant. Consumes the waiting state, so this happens at most once.
    #[must_use]
    pub fn dispatch(self, grant: &Grant) -> Dispatched {
        let Self { record, pool, arrived } = self;
        Dispatched { record, pool, arrived, runner: grant.runner.clone() }
    }
}

impl Dispatched {
    /// The request.
    #[must_use]
    pub fn record(&self) -> &RequestRecord {
        &self.record
    }

    /// The runner that the request was sent to.
    #[must_use]
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }

    /// Returns to the waiting state.
    ///
    /// Only allowed with proof that no byte of the request has been sent, such
    /// as a refused connection.
    #[must_use]
    pub fn back_to_waiting(self) -> Waiting {
        let Self { record, pool, arrived, .. } = self;
        Waiting { record, pool, arrived }
    }
}
