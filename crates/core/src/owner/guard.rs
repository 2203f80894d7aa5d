//! What makes a new claim safe.

use crate::{ids::HostId, time::MonoTime};

use super::RETENTION;

/// What makes a new claim safe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Guard {
    /// Nothing: it is not certain which standby is recorded.
    Unproved,
    /// No standby is recorded, and the owner's lease holds until this time.
    Alone {
        /// End of the lease by this host's clock, counted from before the
        /// renewal was sent.
        until: MonoTime,
    },
    /// This standby is recorded and has to acknowledge each claim.
    Paired(HostId),
}

/// Which earlier claims an owner knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Memory {
    /// All that were made.
    Complete,
    /// All that were made since this time.
    Since(MonoTime),
}

impl Memory {
    /// True if an identity that the owner does not know is certainly new.
    #[must_use]
    pub fn covers(self, now: MonoTime) -> bool {
        match self {
            Self::Complete => true,
            Self::Since(start) => now.since(start) >= RETENTION,
        }
    }
}
