//! Standby's copy of an owner's claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Epoch, HostId, RequestId},
    time::MonoTime,
};

use super::{Claim, ClaimCoverage, ClaimState, ClaimTable};

/// Event from an owner to its standby.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StandbyEvent {
    /// All claims. Replaces the standby's copy.
    Snapshot {
        /// Sequence number of the event.
        number: u64,
        /// The claims.
        claims: Vec<Claim>,
        /// Time until the owner's claim coverage is complete.
        #[serde(default)]
        incomplete_for: Duration,
    },
    /// One additional claim.
    Claim {
        /// Sequence number of the event.
        number: u64,
        /// The claim.
        claim: Claim,
    },
    /// The dispatch of a request ended.
    Ended(RequestId),
    /// The claim of a withdrawn request was removed.
    Release {
        /// The entry.
        entry: HostId,
        /// The request.
        id: RequestId,
    },
}

/// Reply of a standby to an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StandbyReply {
    /// The standby stored every event up to this sequence number.
    #[serde(rename = "Taken")]
    Acknowledged(u64),
    /// The standby follows a later epoch and rejects claims of this owner.
    Superseded(Epoch),
}

/// Standby's copy of an owner's claims.
///
/// Accepts claims of the highest epoch seen only. Becoming the owner consumes
/// the copy, so no claim of a predecessor can be accepted afterwards.
#[derive(Debug)]
pub struct Standby {
    epoch: Epoch,
    owner: Option<HostId>,
    next_number: u64,
    claims: ClaimTable,
    coverage: ClaimCoverage,
}

impl Default for Standby {
    fn default() -> Self {
        Self::new(Epoch::default())
    }
}

impl Standby {
    /// Creates a standby without an owner that rejects epochs below `epoch`.
    #[must_use]
    pub fn new(epoch: Epoch) -> Self {
        let (owner, claims, coverage) = (None, ClaimTable::default(), ClaimCoverage::COMPLETE);
        Self { epoch, owner, next_number: 0, claims, coverage }
    }

    /// Owner and epoch that the copy was received from, if there is a copy.
    #[must_use]
    pub fn source(&self) -> Option<(&HostId, Epoch)> {
        self.owner.as_ref().map(|owner| (owner, self.epoch))
    }

    /// Claim coverage of the owner that sent the copy.
    #[must_use]
    pub fn coverage(&self) -> ClaimCoverage {
        self.coverage
    }

    /// The copied claims.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Consumes the copy and returns its claims for the term that follows.
    /// Waiting claims become granted, because grants are not replicated and the
    /// owner may have sent one.
    #[must_use]
    pub fn into_claims(self, now: MonoTime) -> ClaimTable {
        let mut claims = ClaimTable::default();
        for claim in self.claims.iter() {
            let mut claim = claim.clone();
            if claim.state == ClaimState::Waiting {
                claim.state = ClaimState::Granted;
            }
            claims.insert(now, claim);
        }
        claims
    }

    /// Handles an event of an owner and returns the reply, if any.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &HostId,
        epoch: Epoch,
        event: StandbyEvent,
    ) -> Option<StandbyReply> {
        if epoch < self.epoch {
            return Some(StandbyReply::Superseded(self.epoch));
        }
        self.claims.expire(now);
        match event {
            StandbyEvent::Snapshot { number, .. }
                if self.source() == Some((from, epoch)) && number < self.next_number =>
            {
                Some(StandbyReply::Acknowledged(self.next_number - 1))
            }
            StandbyEvent::Snapshot { number, claims, incomplete_for } => {
                self.coverage = ClaimCoverage::complete_in(now, incomplete_for);
                self.epoch = epoch;
                self.owner = Some(from.clone());
                self.claims = ClaimTable::default();
                for claim in claims {
                    self.claims.insert(now, claim);
                }
                self.acknowledge(number)
            }
            _ if self.source() != Some((from, epoch)) => None,
            StandbyEvent::Claim { number, claim } if number == self.next_number => {
                self.claims.insert(now, claim);
                self.acknowledge(number)
            }
            StandbyEvent::Claim { number, .. } => (number < self.next_number)
                .then(|| StandbyReply::Acknowledged(self.next_number - 1)),
            StandbyEvent::Ended(id) => {
                self.claims.advance(now, id, ClaimState::Ended);
                None
            }
            StandbyEvent::Release { entry, id } => {
                self.claims.release(&entry, id);
                None
            }
        }
    }

    fn acknowledge(&mut self, number: u64) -> Option<StandbyReply> {
        self.next_number = number + 1;
        Some(StandbyReply::Acknowledged(number))
    }
}
