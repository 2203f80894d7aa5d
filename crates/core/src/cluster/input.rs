//! Inputs of the cluster.

use std::collections::BTreeSet;

use crate::{
    ids::{Epoch, HostId, HostName, PoolId},
    time::MonoTime,
};

use super::{Announcement, StoredRecord};

/// Result of [`super::ClusterAction::Read`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// The stored record, if any.
    Record(Option<StoredRecord>),
    /// The call failed or the stored value is not a valid record.
    Failed,
}

/// Result of [`super::ClusterAction::Write`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The record was written under this revision.
    Written(u64),
    /// The stored record has another revision, or there is none.
    Mismatch(Option<StoredRecord>),
    /// The write was not applied.
    NotDone,
    /// The write may have been applied.
    Uncertain,
}

/// Result of [`super::ClusterAction::ReadPresence`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PresenceResult {
    /// This incarnation of the host holds the lease.
    Held(HostId),
    /// The host's lease has expired.
    Expired,
    /// The call failed.
    Failed,
}

/// Input of [`super::Cluster::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterInput {
    /// A session with a peer was established.
    PeerUp(HostId),
    /// A peer is down: the session with it ended.
    PeerDown(HostId),
    /// A peer is stopping and must not be given a pool.
    PeerLeaving(HostId),
    /// The scheduler hosts in the host list.
    HostsListed(BTreeSet<HostName>),
    /// The pools in the configuration.
    PoolsConfigured(BTreeSet<PoolId>),
    /// An owner announced its term.
    Announced(Announcement),
    /// The owner of a pool is stopping and hands the pool over to this host.
    HandOver {
        /// The pool.
        pool: PoolId,
        /// Epoch of the owner.
        epoch: Epoch,
    },
    /// A read of a pool's record completed.
    ReadCompleted {
        /// The pool.
        pool: PoolId,
        /// The result.
        result: ReadResult,
    },
    /// A write of a pool's record completed.
    WriteCompleted {
        /// The pool.
        pool: PoolId,
        /// The result.
        result: WriteResult,
    },
    /// A read of a host's presence completed.
    PresenceReadCompleted {
        /// The pool for which it was read.
        pool: PoolId,
        /// The result.
        result: PresenceResult,
    },
    /// This host's lease was renewed and holds until this time, counted from
    /// before the renewal was sent.
    LeaseRenewed(MonoTime),
    /// The standby has every claim of this owner.
    StandbyReady {
        /// The pool.
        pool: PoolId,
        /// The standby.
        host: HostId,
    },
    /// This host is stopping.
    Stop,
    /// A requested timer is due.
    Tick,
}
