//! What is stored and told of a pool's ownership.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, HostId, PoolId};

/// The value that the key-value service holds of a pool. It has no lease: the
/// epoch must outlive every owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolRecord {
    /// Term of the owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: Option<HostId>,
    /// The host that has to acknowledge every claim of the owner.
    pub standby: Option<HostId>,
}

/// A record with the revision under which the service holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Revision of the last write.
    pub revision: u64,
    /// The record.
    pub record: PoolRecord,
}

/// What an owner tells its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The pool.
    pub pool: PoolId,
    /// Term of the owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: HostId,
    /// Its recorded standby.
    pub standby: Option<HostId>,
}
