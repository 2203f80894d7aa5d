//! Cluster membership and pool ownership.
//!
//! [`Cluster`] is a state machine without I/O. Its inputs are changes of peer
//! sessions, messages from peers, replies of the key-value service and timers.
//! Its actions are calls to the service, messages to peers, and the start or end
//! of a pool's ownership.
//!
//! - Liveness comes from the sessions between peers; the host list only says
//!   which hosts exist ([`Membership`]).
//! - The owner's successor is its standby, or else the first live host of the
//!   rendezvous order ([`rank()`]).
//! - A term begins with a compare-and-swap of the pool's [`PoolRecord`]. A write
//!   whose reply was lost is read back before its outcome is assumed.
//! - While the service is down, the successor of a dead owner takes over under a
//!   provisional epoch if it reaches a majority of the hosts.

mod action;
mod calls;
mod input;
mod membership;
mod owning;
mod pool_state;
mod probe;
mod rank;
mod record;
mod state;
mod takeover;

pub use self::{
    action::{ClaimSource, ClusterAction},
    input::{ClusterInput, PresenceResult, ReadResult, WriteResult},
    membership::Membership,
    probe::{PROBE_TARGETS, probe_targets},
    rank::rank,
    record::{Announcement, PoolRecord, StoredRecord},
    state::{Cluster, TICK},
};
