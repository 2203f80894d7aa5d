//! Events that a pool owner decides on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::RetryReason,
    request::{BlockHash, DispatchEnd, RequestRecord},
};

use super::RunnerSpec;

/// Load of a runner as the engine reports it, with a lag.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Sequences being processed.
    pub running: u32,
    /// Sequences in the engine's own queue.
    pub queued: u32,
    /// Tokens held in the engine's cache for running sequences.
    pub tokens: u64,
    /// Age of the figures when they arrived.
    pub age: Duration,
}

/// A change of a runner's prefix cache. Events arrive late and with gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// Events were lost, or the runner restarted: forget all hints.
    Reset,
}

/// One event for the pool owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolInput {
    /// A request waits at its entry. A repeated submission of a known request
    /// is ignored.
    Submit(RequestRecord),
    /// The entry gave the request up before its dispatch.
    Withdraw(RequestId),
    /// The entry handed a grant back unused. The request waits again.
    GrantUnused {
        /// The request.
        id: RequestId,
        /// Why the grant was not used.
        reason: RetryReason,
    },
    /// The entry used the grant.
    Dispatched(RequestId),
    /// The first token or byte of the answer arrived.
    FirstToken(RequestId),
    /// The dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: DispatchEnd,
    },
    /// Work that an earlier owner granted and that is in progress. Sent by the
    /// entry to a new owner.
    Adopt {
        /// The request.
        record: RequestRecord,
        /// The runner that it was dispatched to.
        runner: RunnerName,
    },
    /// An entry host is gone with everything that it had waiting.
    EntryDown(HostId),
    /// A runner joined, or its description changed. Takes back an earlier
    /// `RunnerLeaving` unless the description says that it is leaving.
    RunnerUpdated(RunnerSpec),
    /// A runner is leaving: it gets no new work and finishes what it has.
    RunnerLeaving(RunnerName),
    /// A runner is gone.
    RunnerRemoved(RunnerName),
    /// A load report arrived.
    Load {
        /// The runner.
        runner: RunnerName,
        /// Its figures.
        report: LoadReport,
    },
    /// A cache event arrived.
    Cache {
        /// The runner.
        runner: RunnerName,
        /// The change.
        event: CacheEvent,
    },
    /// A timer that was asked for is due.
    Tick,
}
