//! Who is alive and who owns a pool.
//!
//! [`Cluster`] is a state machine without input or output. It hears of peers,
//! of the key-value service's answers and of time, and asks for calls to the
//! service, messages to peers, and the start or end of a pool's ownership.
//!
//! - Liveness comes from the sessions between peers; the host list only says
//!   which hosts exist ([`Membership`]).
//! - The owner's successor is its standby, or else the first live host of the
//!   rendezvous order ([`rank()`]).
//! - A term begins with a compare-and-swap of the pool's [`PoolRecord`]. A write
//!   whose reply was lost is read back before it is believed either way.
//! - While the service is down, a majority of hosts may follow the successor of
//!   a dead owner under a provisional epoch.

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
