//! Events that a pool's owner decides on.

use crate::{ids::HostId, pool::PoolInput, time::MonoTime};

use super::{ClaimCoverage, CommitCondition, EntryEvent, StandbyReply};

/// One event for the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerInput {
    /// An entry told something.
    EntryEvent {
        /// The entry.
        entry: HostId,
        /// The entry's own time at which it sent the event.
        sent_at: MonoTime,
        /// The event.
        event: EntryEvent,
    },
    /// Events can be sent to an entry host over a new link.
    EntryUp(HostId),
    /// An entry host is gone.
    EntryDown(HostId),
    /// A change of the runners, a load report or the like.
    Pool(PoolInput),
    /// Send the claims to this standby, or to none.
    SetStandby(Option<HostId>),
    /// The standby answered.
    StandbyReply {
        /// The standby.
        host: HostId,
        /// Its answer.
        reply: StandbyReply,
    },
    /// What makes new claims safe has changed.
    CommitCondition(CommitCondition),
    /// It became known which earlier claims this owner knows.
    ClaimCoverage(ClaimCoverage),
    /// A timer that was asked for is due.
    Tick,
}
