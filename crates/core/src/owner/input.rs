//! Inputs of a pool's owner.

use crate::{ids::HostId, pool::PoolInput, time::MonoTime};

use super::{ClaimCoverage, CommitCondition, EntryEvent, StandbyReply};

/// Input of [`super::Owner::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerInput {
    /// An event from an entry.
    EntryEvent {
        /// The entry.
        entry: HostId,
        /// Time by the entry's clock at which it sent the event.
        sent_at: MonoTime,
        /// The event.
        event: EntryEvent,
    },
    /// A session with an entry was established. Events sent over an earlier
    /// one may be lost.
    EntryUp(HostId),
    /// An entry is down.
    EntryDown(HostId),
    /// Input of the pool, such as a change of its runners or a load report.
    Pool(PoolInput),
    /// Replicate the claims to this standby, or to none.
    SetStandby(Option<HostId>),
    /// A reply of the standby.
    StandbyReply {
        /// The standby.
        host: HostId,
        /// The reply.
        reply: StandbyReply,
    },
    /// The condition for committing new claims changed.
    CommitCondition(CommitCondition),
    /// The coverage of earlier claims changed.
    ClaimCoverage(ClaimCoverage),
    /// A requested timer is due.
    Tick,
}
