//! Events that the cluster decides on.

use std::collections::BTreeSet;

use crate::{
    ids::{Epoch, HostId, HostName, PoolId},
    time::MonoTime,
};

use super::{Announcement, StoredRecord};

/// Answer to [`super::ClusterAction::Read`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// The stored record, if any.
    Record(Option<StoredRecord>),
    /// The service did not answer.
    Failed,
}

/// Answer to [`super::ClusterAction::Write`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The record was written under this revision.
    Written(u64),
    /// Another record was found.
    Mismatch(Option<StoredRecord>),
    /// The write certainly had no effect.
    NotDone,
    /// The write may have had its effect.
    Uncertain,
}

/// Answer to [`super::ClusterAction::ReadPresence`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PresenceResult {
    /// This run of the host holds its lease.
    Held(HostId),
    /// The host's lease has lapsed.
    Expired,
    /// The service did not answer.
    Failed,
}

/// One event for the cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterInput {
    /// Messages can be sent to a peer.
    PeerUp(HostId),
    /// A peer can't be reached.
    PeerDown(HostId),
    /// A peer is stopping; it takes no pool.
    PeerLeaving(HostId),
    /// The host list names these scheduler hosts.
    HostsListed(BTreeSet<HostName>),
    /// The configuration has these pools.
    PoolsConfigured(BTreeSet<PoolId>),
    /// An owner told of its term.
    Announced(Announcement),
    /// The owner of a pool is stopping and asks this host to follow it.
    HandOver {
        /// The pool.
        pool: PoolId,
        /// Term of the owner.
        epoch: Epoch,
    },
    /// The service answered a read.
    ReadCompleted {
        /// The pool.
        pool: PoolId,
        /// The answer.
        result: ReadResult,
    },
    /// The service answered a write.
    WriteCompleted {
        /// The pool.
        pool: PoolId,
        /// The answer.
        result: WriteResult,
    },
    /// The service answered for a host's lease.
    PresenceReadCompleted {
        /// The pool for which it was asked.
        pool: PoolId,
        /// The answer.
        result: PresenceResult,
    },
    /// This host's lease holds until this time, counted from before the renewal
    /// was sent.
    LeaseRenewed(MonoTime),
    /// The standby has taken every claim of this owner.
    StandbyReady {
        /// The pool.
        pool: PoolId,
        /// The standby.
        host: HostId,
    },
    /// This host is stopping.
    Stop,
    /// A timer that was asked for is due.
    Tick,
}
