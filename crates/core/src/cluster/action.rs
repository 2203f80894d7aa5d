//! Effects that the cluster asks for.

use crate::{
    entry::OwnerView,
    ids::{Epoch, HostId, HostName, PoolId},
    owner::CommitCondition,
    time::MonoTime,
};

use super::{Announcement, PoolRecord};

/// Which claims a new owner starts with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimSource {
    /// There was no earlier term: there are no claims.
    FirstTerm,
    /// This host's term goes on: it keeps its claims and its memory.
    SameOwner,
    /// All claims, if this host's copy stems from this owner and epoch.
    StandbyCopy {
        /// The earlier owner.
        owner: HostId,
        /// Its term.
        epoch: Epoch,
    },
    /// Claims of earlier terms may be missing.
    Incomplete,
}

/// An effect of one decision.
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
    /// Read whether a host holds its lease.
    ReadPresence {
        /// The pool for which it is asked.
        pool: PoolId,
        /// The host.
        host: HostName,
    },
    /// Hold this host's lease from now on, or let it end.
    HoldLease(bool),
    /// Begin to own a pool, in place of an earlier term.
    BeginTerm {
        /// The pool.
        pool: PoolId,
        /// Term of this owner.
        epoch: Epoch,
        /// Claims to start with.
        claim_source: ClaimSource,
    },
    /// Cease to own a pool.
    EndTerm(PoolId),
    /// Send the pool's claims to this standby, or to none.
    SetStandby {
        /// The pool.
        pool: PoolId,
        /// The standby.
        host: Option<HostId>,
    },
    /// Tell the pool's owner on this host what makes its claims safe.
    SetCommitCondition {
        /// The pool.
        pool: PoolId,
        /// What makes them safe.
        condition: CommitCondition,
    },
    /// Tell the entry who owns a pool.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        view: OwnerView,
    },
    /// Tell one peer, or every peer, who owns a pool.
    Announce {
        /// The peer; none for all.
        to: Option<HostId>,
        /// What to tell.
        announcement: Announcement,
    },
    /// Ask a peer to follow this owner now.
    HandOver {
        /// The peer.
        to: HostId,
        /// The pool.
        pool: PoolId,
        /// Term of this owner.
        epoch: Epoch,
    },
    /// Tell every peer that this host is stopping.
    AnnounceLeaving,
    /// Call [`super::Cluster::handle`] with [`super::ClusterInput::Tick`] at this time.
    SetTimer(MonoTime),
}
