//! Stored and announced records of a pool's ownership.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, HostId, PoolId};

/// Value that the key-value service stores for a pool. It is not bound to a
/// lease: the epoch must outlive every owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolRecord {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: Option<HostId>,
    /// The host that has to acknowledge the owner's claims.
    pub standby: Option<HostId>,
}

/// A record with its revision in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Revision of the last write.
    pub revision: u64,
    /// The record.
    pub record: PoolRecord,
}

/// Announcement of an owner's term to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The pool.
    pub pool: PoolId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: HostId,
    /// Its recorded standby.
    pub standby: Option<HostId>,
}
