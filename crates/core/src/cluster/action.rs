//! Actions requested by the cluster.

use crate::{
    entry::OwnerView,
    ids::{Epoch, HostId, HostName, PoolId},
    owner::CommitCondition,
    time::MonoTime,
};

use super::{Announcement, PoolRecord};

/// Source of the claims that a new owner starts with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimSource {
    /// There was no earlier term, so there are no claims.
    FirstTerm,
    /// This host owned the pool in the previous term. It keeps its claims and
    /// their coverage.
    SameOwner,
    /// This host's copy, which is complete if it was received from this owner
    /// and epoch.
    StandbyCopy {
        /// The earlier owner.
        owner: HostId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Claims of earlier terms may be missing.
    Incomplete,
}

/// Action requested by [`super::Cluster::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterAction {
    /// Read the pool's record.
    Read(PoolId),
    /// Write the pool's record if it is at this revision; zero if there is none.
    Write {
        /// The pool.
        pool: PoolId,
        /// The revision.
        expected: u64,
        /// The new record.
        record: PoolRecord,
    },
    /// Read whether a host's lease holds.
    ReadPresence {
        /// The pool for which it is read.
        pool: PoolId,
        /// The host.
        host: HostName,
    },
    /// Acquire and renew this host's lease, or let it expire.
    HoldLease(bool),
    /// Begin to own a pool. Replaces an earlier term on this host.
    BeginTerm {
        /// The pool.
        pool: PoolId,
        /// Epoch of this owner.
        epoch: Epoch,
        /// Source of the claims to start with.
        claim_source: ClaimSource,
    },
    /// Stop owning a pool.
    EndTerm(PoolId),
    /// Replicate the pool's claims to this standby, or to none.
    SetStandby {
        /// The pool.
        pool: PoolId,
        /// The standby.
        host: Option<HostId>,
    },
    /// Set the condition under which this owner commits new claims.
    SetCommitCondition {
        /// The pool.
        pool: PoolId,
        /// The condition.
        condition: CommitCondition,
    },
    /// Pass the owner of a pool to this host's entry.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        view: OwnerView,
    },
    /// Announce the owner of a pool to one peer or to all peers.
    Announce {
        /// The peer; none for all.
        to: Option<HostId>,
        /// The announcement.
        announcement: Announcement,
    },
    /// Hand a pool over to a peer.
    HandOver {
        /// The peer.
        to: HostId,
        /// The pool.
        pool: PoolId,
        /// Epoch of this owner.
        epoch: Epoch,
    },
    /// Announce to all peers that this host is stopping.
    AnnounceLeaving,
    /// Call [`super::Cluster::handle`] with [`super::ClusterInput::Tick`] at this time.
    SetTimer(MonoTime),
}
