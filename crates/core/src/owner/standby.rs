//! The copy of an owner's claims on another host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Epoch, HostId, RequestId},
    time::MonoTime,
};

use super::{Claim, ClaimCoverage, ClaimState, ClaimTable};

/// An event that an owner tells its standby.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StandbyEvent {
    /// Every claim. Replaces what the standby had.
    Snapshot {
        /// Number of the event.
        number: u64,
        /// The claims.
        claims: Vec<Claim>,
        /// Time until the owner's memory is complete.
        #[serde(default)]
        incomplete_for: Duration,
    },
    /// One more claim.
    Claim {
        /// Number of the event.
        number: u64,
        /// The claim.
        claim: Claim,
    },
    /// The dispatch of a request ended.
    Ended(RequestId),
    /// An entry gave a request up.
    Release {
        /// The entry.
        entry: HostId,
        /// The request.
        id: RequestId,
    },
}

/// An answer of a standby.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StandbyReply {
    /// Every event up to this number was taken.
    #[serde(rename = "Taken")]
    Acknowledged(u64),
    /// The standby follows a later epoch and takes no claim of this owner.
    Superseded(Epoch),
}

/// The copy of an owner's claims on another host.
///
/// Takes claims of the highest epoch it has seen only. Becoming the owner
/// consumes it, so that no claim of a predecessor can be taken afterwards.
#[derive(Debug)]
pub struct Standby {
    epoch: Epoch,
    owner: Option<HostId>,
    next: u64,
    claims: ClaimTable,
    memory: ClaimCoverage,
}

impl Default for Standby {
    fn default() -> Self {
        Self::new(Epoch::default())
    }
}

impl Standby {
    /// A standby that follows nobody yet and refuses epochs under `epoch`.
    #[must_use]
    pub fn new(epoch: Epoch) -> Self {
        let (owner, claims, memory) = (None, ClaimTable::default(), ClaimCoverage::COMPLETE);
        Self { epoch, owner, next: 0, claims, memory }
    }

    /// Epoch and owner that the copy stems from, if there is a whole copy.
    #[must_use]
    pub fn source(&self) -> Option<(&HostId, Epoch)> {
        self.owner.as_ref().map(|owner| (owner, self.epoch))
    }

    /// What the owner that the copy stems from knew.
    #[must_use]
    pub fn memory(&self) -> ClaimCoverage {
        self.memory
    }

    /// The copied claims.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The copied claims, for the term that follows. Each may have been granted.
    #[must_use]
    pub fn into_claims(self, now: MonoTime) -> ClaimTable {
        let mut inherited = ClaimTable::default();
        for claim in self.claims.iter() {
            let mut claim = claim.clone();
            if claim.state == ClaimState::Waiting {
                claim.state = ClaimState::Granted;
            }
            inherited.insert(now, claim);
        }
        inherited
    }

    /// Takes an event of an owner and answers it.
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
                if self.source() == Some((from, epoch)) && number < self.next =>
            {
                Some(StandbyReply::Acknowledged(self.next - 1))
            }
            StandbyEvent::Snapshot { number, claims, incomplete_for } => {
                self.memory = ClaimCoverage::complete_in(now, incomplete_for);
                self.epoch = epoch;
                self.owner = Some(from.clone());
                self.claims = ClaimTable::default();
                for claim in claims {
                    self.claims.insert(now, claim);
                }
                self.take(number)
            }
            _ if self.source() != Some((from, epoch)) => None,
            StandbyEvent::Claim { number, claim } if number == self.next => {
                self.claims.insert(now, claim);
                self.take(number)
            }
            StandbyEvent::Claim { number, .. } => {
                (number < self.next).then(|| StandbyReply::Acknowledged(self.next - 1))
            }
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

    fn take(&mut self, number: u64) -> Option<StandbyReply> {
        self.next = number + 1;
        Some(StandbyReply::Acknowledged(number))
    }
}
