//! Actions requested by a pool's owner.

use crate::{ids::HostId, time::MonoTime};

use super::{OwnerEvent, StandbyEvent};

/// Action requested by [`super::Owner::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerAction {
    /// Send an event to an entry.
    SendToEntry {
        /// The entry.
        entry: HostId,
        /// The event.
        event: OwnerEvent,
    },
    /// Send an event to the standby.
    Replicate {
        /// The standby.
        standby: HostId,
        /// The event.
        event: StandbyEvent,
    },
    /// The standby has every claim and may be recorded.
    StandbyReady(HostId),
    /// Call [`super::Owner::handle`] with [`super::OwnerInput::Tick`] at this time.
    SetTimer(MonoTime),
}
