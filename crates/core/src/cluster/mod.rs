//! Cluster membership and pool ownership.
//!
//! [`Cluster`] is a state machine without I/O. Its inputs are changes of peer
//! sessions, messages from peers, replies of the key-value service and timers.
//! Its actions are calls to the service, messages to peers, and the start or end
//! of a pool's ownership.
//!
//! - A peer is up while there is a session with it, and otherwise down; the host
//!   list only says which hosts exist ([`Membership`]).
//! - The owner's successor is its standby, or else the first host of the
//!   rendezvous order that is up ([`rendezvous_order()`]).
//! - A term begins with a compare-and-swap of the pool's [`PoolRecord`]. A write
//!   whose reply was lost is read back before its outcome is assumed.
//! - While the service is down, the successor of an owner that is down takes over
//!   under a provisional epoch if it has sessions with a majority of the hosts.

mod action;
mod input;
mod membership;
mod pool_state;
mod probe;
mod record;
mod rendezvous;
mod service_replies;
mod state;
mod takeover;
mod term;

pub use self::{
    action::{ClaimSource, ClusterAction},
    input::{ClusterInput, PresenceResult, ReadResult, WriteResult},
    membership::Membership,
    probe::{MAX_PROBE_TARGETS, probe_targets},
    record::{Announcement, PoolRecord, StoredRecord},
    rendezvous::rendezvous_order,
    state::{Cluster, REVIEW_INTERVAL},
};
