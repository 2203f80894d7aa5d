//! Effects that a pool's owner asks for.

use crate::{ids::HostId, time::MonoTime};

use super::{OwnerEvent, StandbyEvent};

/// An effect of one decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerAction {
    /// Tell an entry.
    SendToEntry {
        /// The entry.
        entry: HostId,
        /// The event.
        event: OwnerEvent,
    },
    /// Tell the standby.
    Replicate {
        /// The standby.
        standby: HostId,
        /// The event.
        event: StandbyEvent,
    },
    /// The standby has taken every claim and may be recorded.
    StandbyReady(HostId),
    /// Call [`super::Owner::handle`] with [`super::OwnerInput::Tick`] at this time.
    SetTimer(MonoTime),
}
