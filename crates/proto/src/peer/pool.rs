//! Messages between the entries of a pool and its owner.
//!
//! Fields have short names on the wire because these messages are sent for
//! every request.

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
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Highest epoch that the entry has seen for the pool.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The entry's own clock at sending, echoed in grants.
    #[serde(rename = "t")]
    pub sent_at: MonoTime,
    /// The event.
    #[serde(rename = "v")]
    pub event: EntryEvent,
}

/// An event from the owner of a pool for an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToEntry {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Term of the owner.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The event.
    #[serde(rename = "v")]
    pub event: OwnerEvent,
}
