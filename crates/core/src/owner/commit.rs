//! Condition for committing new claims, and coverage of earlier ones.

use std::time::Duration;

use crate::{ids::HostId, time::MonoTime};

use super::CLAIM_RETENTION;

/// Condition under which a new claim is committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitCondition {
    /// No claim can be committed: it is not certain which standby is recorded,
    /// or the standby follows a later epoch.
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

/// Time from which an owner knows every claim that is still retained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimCoverage {
    complete_at: MonoTime,
}

impl ClaimCoverage {
    /// Coverage of an owner that has the claims of every earlier term.
    pub const COMPLETE: Self = Self { complete_at: MonoTime::ZERO };

    /// Coverage of an owner that may lack claims made before `now`.
    #[must_use]
    pub fn since(now: MonoTime) -> Self {
        Self::complete_in(now, CLAIM_RETENTION)
    }

    /// Coverage that becomes complete after `remaining`.
    #[must_use]
    pub fn complete_in(now: MonoTime, remaining: Duration) -> Self {
        match remaining.is_zero() {
            true => Self::COMPLETE,
            false => Self { complete_at: now + remaining },
        }
    }

    /// Time until the coverage is complete.
    #[must_use]
    pub fn incomplete_for(self, now: MonoTime) -> Duration {
        self.complete_at.since(now)
    }

    /// True if a key without a claim is known to be new.
    #[must_use]
    pub fn is_complete(self, now: MonoTime) -> bool {
        now >= self.complete_at
    }
}
