//! Table of the claims of one pool.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{HostId, RequestId},
    time::MonoTime,
};

use super::{Claim, ClaimState, IdempotencyKey, Identity};

/// How long a claim is kept after its request ended. The claim of a request
/// that has not ended does not expire.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of claims of one pool. No claim is evicted to make room.
pub const MAX_CLAIMS: usize = 200_000;

/// Result of [`ClaimTable::look_up`].
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimLookup<'a> {
    /// The key is not claimed.
    Unclaimed,
    /// The key is claimed for the same digest.
    SameDigest(&'a Claim),
    /// The key is claimed for another digest.
    OtherDigest,
}

/// Table of the claims of one pool.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<IdempotencyKey, Claim>,
    keys: BTreeMap<RequestId, IdempotencyKey>,
    ended: VecDeque<(MonoTime, RequestId)>,
}

impl ClaimTable {
    /// Number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True if there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// All claims in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// Looks up the claim of an identity's key.
    #[must_use]
    pub fn look_up(&self, identity: &Identity) -> ClaimLookup<'_> {
        match self.claims.get(&identity.key) {
            None => ClaimLookup::Unclaimed,
            Some(claim) if claim.identity.digest == identity.digest => {
                ClaimLookup::SameDigest(claim)
            }
            Some(_) => ClaimLookup::OtherDigest,
        }
    }

    /// Stores a claim, replacing an earlier one with the same key. Returns the
    /// request whose claim was replaced, if it is another request.
    pub fn insert(&mut self, now: MonoTime, claim: Claim) -> Option<RequestId> {
        let key = claim.identity.key.clone();
        let id = claim.id;
        if claim.state == ClaimState::Ended {
            self.ended.push_back((now, id));
        }
        let old = self.claims.insert(key.clone(), claim).map(|old| old.id);
        if let Some(old) = old {
            self.keys.remove(&old);
        }
        self.keys.insert(id, key);
        old.filter(|old| *old != id)
    }

    /// Advances the state of a request's claim; an earlier state is ignored.
    /// Returns true if the state changed.
    pub fn advance(&mut self, now: MonoTime, id: RequestId, state: ClaimState) -> bool {
        let Some(claim) = self.keys.get(&id).and_then(|key| self.claims.get_mut(key)) else {
            return false;
        };
        if claim.state >= state {
            return false;
        }
        claim.state = state;
        if state == ClaimState::Ended {
            self.ended.push_back((now, id));
        }
        true
    }

    /// State of a request's claim, if it has one.
    #[must_use]
    pub fn state(&self, id: RequestId) -> Option<ClaimState> {
        let key = self.keys.get(&id)?;
        self.claims.get(key).map(|claim| claim.state)
    }

    /// Requests of an entry that have a claim.
    #[must_use]
    pub fn requests_of_entry(&self, entry: &HostId) -> Vec<RequestId> {
        self.claims.values().filter(|c| c.entry == *entry).map(|c| c.id).collect()
    }

    /// Removes the claim of a request if it belongs to `entry`. Returns true if
    /// it was removed.
    pub fn release(&mut self, entry: &HostId, id: RequestId) -> bool {
        let Some(key) = self.keys.get(&id) else { return false };
        if self.claims.get(key).is_none_or(|claim| claim.entry != *entry) {
            return false;
        }
        self.claims.remove(key);
        self.keys.remove(&id);
        true
    }

    /// Removes the claims of requests that ended at least [`CLAIM_RETENTION`] ago.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some(&(ended, id)) = self.ended.front() {
            if now.since(ended) < CLAIM_RETENTION {
                return;
            }
            self.ended.pop_front();
            if let Some(key) = self.keys.remove(&id) {
                self.claims.remove(&key);
            }
        }
    }
}
