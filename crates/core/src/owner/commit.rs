//! What makes a new claim safe.

use std::time::Duration;

use crate::{ids::HostId, time::MonoTime};

use super::CLAIM_RETENTION;

/// What makes a new claim safe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitCondition {
    /// Nothing: it is not certain which standby is recorded.
    Blocked,
    /// No standby is recorded, and the owner's lease holds until this time.
    LeaseOnly {
        /// End of the lease by this host's clock, counted from before the
        /// renewal was sent.
        until: MonoTime,
    },
    /// This standby is recorded and has to acknowledge each claim.
    StandbyAck(HostId),
}

/// Time from which an owner knows every claim that is not too old to matter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimCoverage {
    complete_at: MonoTime,
}

impl ClaimCoverage {
    /// The memory of an owner that has the claims of every earlier term.
    pub const COMPLETE: Self = Self { complete_at: MonoTime::ZERO };

    /// The memory of an owner that may lack claims made before `now`.
    #[must_use]
    pub fn since(now: MonoTime) -> Self {
        Self::complete_in(now, CLAIM_RETENTION)
    }

    /// A memory that is complete after `left`.
    #[must_use]
    pub fn complete_in(now: MonoTime, left: Duration) -> Self {
        match left.is_zero() {
            true => Self::COMPLETE,
            false => Self { complete_at: now + left },
        }
    }

    /// Time until the memory is complete.
    #[must_use]
    pub fn incomplete_for(self, now: MonoTime) -> Duration {
        self.complete_at.since(now)
    }

    /// True if an identity that the owner does not know is certainly new.
    #[must_use]
    pub fn is_complete(self, now: MonoTime) -> bool {
        now >= self.complete_at
    }
}
