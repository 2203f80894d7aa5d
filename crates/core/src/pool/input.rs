//! Events that a pool owner handles.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::RetryReason,
    request::{BlockHash, DispatchEnd, RequestRecord},
};

use super::RunnerSpec;

/// Load of a runner as reported by its engine, with a delay.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Sequences being processed.
    pub running: u32,
    /// Sequences in the engine's own queue.
    pub queued: u32,
    /// Tokens in the engine's cache that running sequences hold.
    pub tokens: u64,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// A change of a runner's prefix cache. Events may arrive late or get lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// Events were lost or the runner restarted, so all its hints are invalid.
    Reset,
}

/// One event for the pool owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolInput {
    /// A request waits at its entry. Submissions of a known request are
    /// ignored.
    Submit(RequestRecord),
    /// The entry withdrew the request before its dispatch.
    Withdraw(RequestId),
    /// The entry returned a grant unused. The request is queued again.
    GrantUnused {
        /// The request.
        id: RequestId,
        /// Why the grant was not used.
        reason: RetryReason,
    },
    /// The entry used the grant.
    Dispatched(RequestId),
    /// The first token or byte of the response arrived.
    FirstToken(RequestId),
    /// The dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: DispatchEnd,
    },
    /// A request that an earlier owner granted is in progress. The entry
    /// reports it to the new owner.
    Adopt {
        /// The request.
        record: RequestRecord,
        /// The runner to which it was dispatched.
        runner: RunnerName,
    },
    /// An entry is down, and with it all its waiting requests.
    EntryDown(HostId),
    /// A runner was added, or its description changed. Cancels an earlier
    /// `RunnerLeaving` unless the description is marked as leaving.
    RunnerUpdated(RunnerSpec),
    /// A runner is leaving: it gets no new requests and finishes those in
    /// progress.
    RunnerLeaving(RunnerName),
    /// A runner was removed.
    RunnerRemoved(RunnerName),
    /// A runner reported its load.
    Load {
        /// The runner.
        runner: RunnerName,
        /// The report.
        report: LoadReport,
    },
    /// A runner reported a change of its prefix cache.
    Cache {
        /// The runner.
        runner: RunnerName,
        /// The change.
        event: CacheEvent,
    },
    /// A requested timer is due.
    Tick,
}
