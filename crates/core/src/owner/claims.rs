//! The table of claims of one pool.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{HostId, RequestId},
    time::MonoTime,
};

use super::{Claim, ClaimState, IdempotencyKey, Identity};

/// Time for which a claim is kept after its request ended. The claim of a
/// request that has not ended is kept without limit in time.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(600);

/// Most claims of one pool. A claim is never dropped early to make room.
pub const MAX_CLAIMS: usize = 200_000;

/// What the table knows of an identity.
#[derive(Debug, Eq, PartialEq)]
pub enum Lookup<'a> {
    /// Nothing.
    Fresh,
    /// The same request.
    Same(&'a Claim),
    /// The key with another body.
    OtherBody,
}

/// The table of claims of one pool.
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

    /// Every claim, in order of keys.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// What is known of an identity.
    #[must_use]
    pub fn look_up(&self, identity: &Identity) -> Lookup<'_> {
        match self.claims.get(&identity.key) {
            None => Lookup::Fresh,
            Some(claim) if claim.identity.digest == identity.digest => Lookup::Same(claim),
            Some(_) => Lookup::OtherBody,
        }
    }

    /// Stores a claim in place of an earlier one with the same key. Returns the
    /// request that lost its claim.
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

    /// Notes how far a request may have come. Never goes back. Returns true if
    /// this was news.
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

    /// How far a request may have come.
    #[must_use]
    pub fn state(&self, id: RequestId) -> Option<ClaimState> {
        let key = self.keys.get(&id)?;
        self.claims.get(key).map(|claim| claim.state)
    }

    /// Requests of a host that nothing more will be heard of.
    #[must_use]
    pub fn held_by(&self, entry: &HostId) -> Vec<RequestId> {
        self.claims.values().filter(|c| c.entry == *entry).map(|c| c.id).collect()
    }

    /// Removes the claim that `entry` gave up for good.
    pub fn release(&mut self, entry: &HostId, id: RequestId) -> bool {
        let Some(key) = self.keys.get(&id) else { return false };
        if self.claims.get(key).is_none_or(|claim| claim.entry != *entry) {
            return false;
        }
        self.claims.remove(key);
        self.keys.remove(&id);
        true
    }

    /// Removes the claims of requests that ended longer than [`CLAIM_RETENTION`] ago.
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
