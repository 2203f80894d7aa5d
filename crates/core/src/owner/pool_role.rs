//! A host's role in one pool over its terms as owner and as standby.

use crate::{
    cluster::ClaimSource,
    ids::{Epoch, HostId},
    pool::{Pool, PoolSettings},
    time::MonoTime,
};

use super::{
    ClaimCoverage, ClaimTable, Owner, OwnerAction, OwnerInput, Standby, StandbyEvent, StandbyReply,
};

/// A host's role in one pool over its terms as owner and as standby.
///
/// A host is either the owner or a standby, never both: becoming the owner
/// consumes the standby's copy.
#[derive(Debug)]
pub struct PoolRole {
    role: Role,
    /// Owner and epoch that the claims of the current term were copied from.
    source: Option<(HostId, Epoch)>,
    /// Claim coverage of the owner in `source`.
    source_coverage: ClaimCoverage,
    coverage: ClaimCoverage,
}

#[derive(Debug)]
enum Role {
    Owner(Box<Owner>),
    Standby(Standby),
}

impl PoolRole {
    /// Creates the role of a host that neither owns the pool nor has a copy.
    #[must_use]
    pub fn new() -> Self {
        let role = Role::Standby(Standby::default());
        Self {
            role,
            source: None,
            source_coverage: ClaimCoverage::COMPLETE,
            coverage: ClaimCoverage::COMPLETE,
        }
    }

    /// The owner, while this host owns the pool.
    #[must_use]
    pub fn owner(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owner(owner) => Some(owner),
            Role::Standby(_) => None,
        }
    }

    /// Begins a term as owner with the claims that this host has.
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
                self.source_coverage = standby.coverage();
                (standby.into_claims(now), false)
            }
        };
        self.coverage = self.initial_coverage(now, claim_source, continued);
        let owner = Owner::new(Pool::new(settings), claims, self.coverage);
        self.role = Role::Owner(Box::new(owner));
    }

    fn initial_coverage(
        &self,
        now: MonoTime,
        claim_source: &ClaimSource,
        continued: bool,
    ) -> ClaimCoverage {
        let complete = match claim_source {
            ClaimSource::FirstTerm => true,
            ClaimSource::SameOwner if continued => return self.coverage,
            ClaimSource::SameOwner => false,
            ClaimSource::StandbyCopy { owner, epoch } => {
                self.source.as_ref() == Some(&(owner.clone(), *epoch))
            }
            ClaimSource::Incomplete => false,
        };
        match (complete, claim_source) {
            (true, ClaimSource::FirstTerm) => ClaimCoverage::COMPLETE,
            (true, _) => self.source_coverage,
            (false, _) if continued && !self.coverage.is_complete(now) => self.coverage,
            (false, _) => ClaimCoverage::since(now),
        }
    }

    /// Ends the term. Events of owners with an epoch below `epoch` are rejected
    /// from now on.
    pub fn end_term(&mut self, epoch: Epoch) {
        self.role = Role::Standby(Standby::new(epoch));
        self.source = None;
    }

    /// Handles an input of the owner. Ignored if this host is not the owner.
    pub fn handle(&mut self, now: MonoTime, input: OwnerInput, out: &mut Vec<OwnerAction>) {
        if let Role::Owner(owner) = &mut self.role {
            owner.handle(now, input, out);
        }
    }

    /// Handles an event of another owner. A host that owns the pool rejects
    /// earlier epochs and ignores later ones: the cluster's announcement ends
    /// its term.
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

    /// Claims of the current term or copy.
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
