//! What a host holds of one pool over its terms as owner and as standby.

use crate::{
    cluster::ClaimSource,
    ids::{Epoch, HostId},
    pool::{Pool, PoolSettings},
    time::MonoTime,
};

use super::{
    ClaimCoverage, ClaimTable, Owner, OwnerAction, OwnerInput, Standby, StandbyEvent, StandbyReply,
};

/// What a host holds of one pool over its terms as owner and as standby.
///
/// A host is either the owner or a standby, never both: becoming the owner
/// consumes the copy that it held.
#[derive(Debug)]
pub struct PoolRole {
    role: Role,
    /// Where the claims of the present term stem from.
    source: Option<(HostId, Epoch)>,
    /// What the owner that the claims stem from knew.
    source_memory: ClaimCoverage,
    memory: ClaimCoverage,
}

#[derive(Debug)]
enum Role {
    Owner(Box<Owner>),
    Standby(Standby),
}

impl PoolRole {
    /// A host that is neither the owner nor has a copy.
    #[must_use]
    pub fn new() -> Self {
        let role = Role::Standby(Standby::default());
        Self {
            role,
            source: None,
            source_memory: ClaimCoverage::COMPLETE,
            memory: ClaimCoverage::COMPLETE,
        }
    }

    /// The owner's state, while this host is the owner.
    #[must_use]
    pub fn owner(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owner(owner) => Some(owner),
            Role::Standby(_) => None,
        }
    }

    /// Begins a term with the claims that this host has.
    pub fn begin_term(
        &mut self,
        now: MonoTime,
        settings: PoolSettings,
        claim_source: &ClaimSource,
    ) {
        let standby = Role::Standby(Standby::default());
        let (claims, continued) = match std::mem::replace(&mut self.role, standby) {
            Role::Owner(owner) => (owner.into_claims(), true),
            Role::Standby(standby) => {
                self.source = standby.source().map(|(owner, epoch)| (owner.clone(), epoch));
                self.source_memory = standby.memory();
                (standby.into_claims(now), false)
            }
        };
        self.memory = self.memory_of(now, claim_source, continued);
        let owner = Owner::new(Pool::new(settings), claims, self.memory);
        self.role = Role::Owner(Box::new(owner));
    }

    fn memory_of(
        &self,
        now: MonoTime,
        claim_source: &ClaimSource,
        continued: bool,
    ) -> ClaimCoverage {
        let complete = match claim_source {
            ClaimSource::FirstTerm => true,
            ClaimSource::SameOwner if continued => return self.memory,
            ClaimSource::SameOwner => false,
            ClaimSource::StandbyCopy { owner, epoch } => {
                self.source.as_ref() == Some(&(owner.clone(), *epoch))
            }
            ClaimSource::Incomplete => false,
        };
        match (complete, claim_source) {
            (true, ClaimSource::FirstTerm) => ClaimCoverage::COMPLETE,
            (true, _) => self.source_memory,
            (false, _) if continued && !self.memory.is_complete(now) => self.memory,
            (false, _) => ClaimCoverage::since(now),
        }
    }

    /// Ends the term. Claims of owners before `epoch` are refused from now on.
    pub fn end_term(&mut self, epoch: Epoch) {
        self.role = Role::Standby(Standby::new(epoch));
        self.source = None;
    }

    /// Decides on an input for the owner. Ignored by a host that is not.
    pub fn handle(&mut self, now: MonoTime, input: OwnerInput, out: &mut Vec<OwnerAction>) {
        if let Role::Owner(owner) = &mut self.role {
            owner.handle(now, input, out);
        }
    }

    /// Takes an event of another owner. A host that owns the pool refuses those
    /// of earlier epochs and leaves later ones to the cluster's announcement.
    pub fn handle_standby_event(
        &mut self,
        now: MonoTime,
        from: &HostId,
        epoch: Epoch,
        event: StandbyEvent,
    ) -> Option<StandbyReply> {
        match &mut self.role {
            Role::Owner(owner) if epoch < owner.epoch() => {
                Some(StandbyReply::Superseded(owner.epoch()))
            }
            Role::Owner(_) => None,
            Role::Standby(standby) => standby.handle(now, from, epoch, event),
        }
    }

    /// Claims of the present term or copy.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        match &self.role {
            Role::Owner(owner) => owner.claims(),
            Role::Standby(standby) => standby.claims(),
        }
    }
}

impl Default for PoolRole {
    fn default() -> Self {
        Self::new()
    }
}
