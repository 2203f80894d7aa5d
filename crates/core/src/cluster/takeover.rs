//! When and how a host follows an owner that is gone.

use std::time::Duration;

use crate::{
    ids::{Epoch, HostId, PoolId},
    time::MonoTime,
};

use super::{
    ClaimSource, Cluster, ClusterAction, PoolRecord,
    pool_state::{Call, PoolState},
    rank,
    state::announcement,
};

/// Time between two attempts to follow an owner.
pub(super) const RETRY: Duration = Duration::from_millis(200);

/// Time without an owner after which a majority does not wait for its lease.
const LEASE_WAIT: Duration = Duration::from_millis(2_500);

/// Time without an owner and without the service after which a majority follows
/// the successor under a provisional epoch.
const PROVISIONAL_WAIT: Duration = Duration::from_millis(1_000);

impl Cluster {
    pub(super) fn review_all(&mut self, now: MonoTime, out: &mut Vec<ClusterAction>) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in &pools {
            if self.pools.get(pool).is_some_and(|state| state.owned) {
                self.review_owned(now, pool, out);
            } else {
                self.review_other(now, pool, out);
            }
        }
        self.review_lease(out);
    }

    /// Holds the lease while this host owns or takes over a pool.
    fn review_lease(&mut self, out: &mut Vec<ClusterAction>) {
        let needed = self.pools.values().any(|state| state.owned || state.call != Call::Idle);
        if needed != self.holds_lease {
            self.holds_lease = needed;
            out.push(ClusterAction::HoldLease(needed));
        }
    }

    /// The host that should own the pool if its owner is gone.
    pub(super) fn successor(&self, pool: &PoolId, state: &PoolState) -> Option<HostId> {
        let standby = state.recorded_standby().or(state.standby.as_ref());
        if let Some(standby) = standby.filter(|host| self.members.is_candidate(host)) {
            return Some(standby.clone());
        }
        let candidates: Vec<&HostId> = self.members.candidates().collect();
        let best = rank(pool, candidates.iter().map(|host| &host.name)).into_iter().next()?;
        candidates.iter().find(|host| host.name == *best).map(|host| (*host).clone())
    }

    fn review_other(&mut self, now: MonoTime, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let me = self.members.me();
        let served = |owner: &HostId| owner != me && self.members.is_alive(owner);
        let served = state.owner.as_ref().is_some_and(served);
        let mine = self.successor(pool, state).as_ref() == Some(self.members.me());
        let settled = self.started.is_some_and(|start| now >= start + self.settle);
        let Some(state) = self.pools.get_mut(pool) else { return };
        if matches!(state.call, Call::ReadBack(_)) && now >= state.retry_at {
            state.retry_at = now + RETRY;
            out.push(ClusterAction::Read(pool.clone()));
        }
        if served && !state.resigned {
            state.orphan_since = None;
            return;
        }
        state.orphan_since.get_or_insert(now);
        let ready = settled || state.owner.is_some();
        if mine && ready && state.call == Call::Idle && now >= state.retry_at {
            state.call = Call::Read;
            out.push(ClusterAction::Read(pool.clone()));
        }
    }

    /// True if the pool has been without an owner for `limit` and this host
    /// reaches a majority, or its owner asked to be followed.
    fn may_follow(&self, now: MonoTime, state: &PoolState, limit: Duration) -> bool {
        let waited = state.orphan_since.is_some_and(|since| now >= since + limit);
        state.resigned || (waited && self.members.has_majority())
    }

    /// The stored record names an owner that this host can't reach, or none.
    pub(super) fn consider(&mut self, now: MonoTime, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let owner = state.stored.as_ref().and_then(|stored| stored.record.owner.clone());
        let me = self.members.me();
        let free = state.resigned || owner.as_ref().is_none_or(|owner| owner == me);
        let alive = owner.as_ref().is_some_and(|owner| self.members.is_alive(owner));
        let Some(state) = self.pools.get_mut(pool) else { return };
        match owner {
            Some(owner) if !free && !alive => {
                state.call = Call::Presence;
                let host = owner.name;
                out.push(ClusterAction::ReadPresence { pool: pool.clone(), host });
            }
            Some(_) if !free => state.retry_at = now + RETRY,
            _ => self.write_term(pool, out),
        }
    }

    /// The owner's lease still holds.
    pub(super) fn owner_present(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get(pool) else { return };
        if self.may_follow(now, state, LEASE_WAIT) {
            self.write_term(pool, out);
        } else if let Some(state) = self.pools.get_mut(pool) {
            state.retry_at = now + RETRY;
        }
    }

    /// Asks the service for the next epoch.
    pub(super) fn write_term(&mut self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        let stored = state.stored.as_ref().map_or(0, |stored| stored.record.epoch.issued);
        let issued = stored.max(state.epoch.issued) + 1;
        let epoch = Epoch { issued, provisional: 0 };
        let record = PoolRecord { epoch, owner: Some(me), standby: None };
        let expected = state.revision();
        state.call = Call::Write(record.clone());
        out.push(ClusterAction::Write { pool: pool.clone(), expected, record });
    }

    /// The service did not answer.
    pub(super) fn service_failed(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get(pool) else { return };
        let follow = !state.owned && self.may_follow(now, state, PROVISIONAL_WAIT);
        let known = state.epoch;
        let Some(state) = self.pools.get_mut(pool) else { return };
        state.retry_at = now + RETRY;
        let mine = self.pools.get(pool).and_then(|state| self.successor(pool, state));
        if follow && mine.as_ref() == Some(self.members.me()) {
            let epoch = Epoch { provisional: known.provisional + 1, ..known };
            self.begin_term(now, pool, epoch, ClaimSource::Incomplete, out);
        }
    }

    /// This host owns the pool from now on.
    pub(super) fn begin_term(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        epoch: Epoch,
        claim_source: ClaimSource,
        out: &mut Vec<ClusterAction>,
    ) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        state.owned = true;
        state.resigned = false;
        state.orphan_since = None;
        state.epoch = epoch;
        state.owner = Some(me.clone());
        state.standby = None;
        state.used_standby = None;
        state.standby_ready = false;
        state.unproved = epoch.provisional > 0;
        state.verify_at = now + super::owning::VERIFY;
        let view = state.view();
        let announcement = announcement(pool, state, &me);
        out.push(ClusterAction::BeginTerm { pool: pool.clone(), epoch, claim_source });
        out.push(ClusterAction::OwnerChanged { pool: pool.clone(), view });
        out.push(ClusterAction::Announce { to: None, announcement });
        self.tell_guard(pool, out);
    }
}
