//! Messages between the entries of a pool and its owner.

use comfreyway_core::{
    ids::{Epoch, PoolId},
    owner::{EntryEvent, OwnerEvent},
    time::MonoTime,
};
use serde::{Deserialize, Serialize};

/// An event from an entry for the owner of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToOwner {
    /// The pool.
    pub pool: PoolId,
    /// Highest epoch that the entry has seen for the pool.
    pub epoch: Epoch,
    /// The entry's own time, which comes back with grants.
    pub sent_at: MonoTime,
    /// The event.
    pub event: EntryEvent,
}

/// An event from the owner of a pool for an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToEntry {
    /// The pool.
    pub pool: PoolId,
    /// Term of the owner.
    pub epoch: Epoch,
    /// The event.
    pub event: OwnerEvent,
}
