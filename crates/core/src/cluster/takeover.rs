//! Takeover of a pool whose owner is down or stopping.

use std::time::Duration;

use crate::{
    ids::{Epoch, HostId, PoolId},
    time::MonoTime,
};

use super::{
    ClaimSource, Cluster, ClusterAction, PoolRecord,
    pool_state::{Call, PoolState},
    rendezvous_order,
    state::announcement,
};

/// Delay before a takeover or a read of the stored record is tried again.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time without an owner that is up after which a host that reaches a majority
/// takes over although the owner's lease still holds.
const LEASE_OVERRIDE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without an owner that is up after which, while the key-value service is
/// down, a successor that reaches a majority takes over under a provisional epoch.
const PROVISIONAL_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Cluster {
    pub(super) fn review_all(&mut self, now: MonoTime, out: &mut Vec<ClusterAction>) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in &pools {
            if self.pools.get(pool).is_some_and(|state| state.owned) {
                self.review_owned(now, pool, out);
            } else {
                self.review_unowned(now, pool, out);
            }
        }
        self.review_lease(out);
    }

    /// Holds the lease while this host owns a pool or has a pending call for one.
    fn review_lease(&mut self, out: &mut Vec<ClusterAction>) {
        let needed = self.pools.values().any(|state| state.owned || state.call != Call::Idle);
        if needed != self.holds_lease {
            self.holds_lease = needed;
            out.push(ClusterAction::HoldLease(needed));
        }
    }

    /// Host that takes over the pool when its owner is down: the standby if it is
    /// a candidate, otherwise the first candidate of the rendezvous order.
    pub(super) fn successor(&self, pool: &PoolId, state: &PoolState) -> Option<HostId> {
        let standby = state.recorded_standby().or(state.standby.as_ref());
        if let Some(standby) = standby.filter(|host| self.members.is_candidate(host)) {
            return Some(standby.clone());
        }
        let candidates: Vec<&HostId> = self.members.candidates().collect();
        let best =
            rendezvous_order(pool, candidates.iter().map(|host| &host.name)).into_iter().next()?;
        candidates.iter().find(|host| host.name == *best).map(|host| (*host).clone())
    }

    fn review_unowned(&mut self, now: MonoTime, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let me = self.members.me();
        let owner_up = |owner: &HostId| owner != me && self.members.is_up(owner);
        let owner_up = state.owner.as_ref().is_some_and(owner_up);
        let is_successor = self.successor(pool, state).as_ref() == Some(self.members.me());
        let startup_over = self.started_at.is_some_and(|start| now >= start + self.startup_delay);
        let Some(state) = self.pools.get_mut(pool) else { return };
        if matches!(state.call, Call::ReadBack(_)) && now >= state.retry_at {
            state.retry_at = now + RETRY_INTERVAL;
            out.push(ClusterAction::Read(pool.clone()));
        }
        if owner_up && !state.handed_over {
            state.ownerless_since = None;
            return;
        }
        state.ownerless_since.get_or_insert(now);
        let ready = startup_over || state.owner.is_some();
        if is_successor && ready && state.call == Call::Idle && now >= state.retry_at {
            state.call = Call::Read;
            out.push(ClusterAction::Read(pool.clone()));
        }
    }

    /// True if the pool has been without an owner that is up for `limit` and
    /// this host reaches a majority, or if the owner handed the pool over.
    fn may_take_over(&self, now: MonoTime, state: &PoolState, limit: Duration) -> bool {
        let waited = state.ownerless_since.is_some_and(|since| now >= since + limit);
        state.handed_over || (waited && self.members.has_majority())
    }

    /// Decides on a takeover by the stored record. Takes over if the record names
    /// no other owner or the owner handed the pool over, checks the lease of an
    /// owner that is down, and waits while the owner is up.
    pub(super) fn try_take_over(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get(pool) else { return };
        let owner = state.stored.as_ref().and_then(|stored| stored.record.owner.clone());
        let me = self.members.me();
        let free = state.handed_over || owner.as_ref().is_none_or(|owner| owner == me);
        let is_up = owner.as_ref().is_some_and(|owner| self.members.is_up(owner));
        let Some(state) = self.pools.get_mut(pool) else { return };
        match owner {
            Some(owner) if !free && !is_up => {
                state.call = Call::Presence;
                let host = owner.name;
                out.push(ClusterAction::ReadPresence { pool: pool.clone(), host });
            }
            Some(_) if !free => state.retry_at = now + RETRY_INTERVAL,
            _ => self.write_term(pool, out),
        }
    }

    /// Handles an owner that is down and whose lease still holds: takes over after
    /// [`LEASE_OVERRIDE_TIMEOUT`], otherwise tries again later.
    pub(super) fn owner_lease_held(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get(pool) else { return };
        if self.may_take_over(now, state, LEASE_OVERRIDE_TIMEOUT) {
            self.write_term(pool, out);
        } else if let Some(state) = self.pools.get_mut(pool) {
            state.retry_at = now + RETRY_INTERVAL;
        }
    }

    /// Writes a record with the next epoch and this host as the owner.
    pub(super) fn write_term(&mut self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        let stored = state.stored.as_ref().map_or(0, |stored| stored.record.epoch.issued);
        let issued = stored.max(state.epoch.issued) + 1;
        let epoch = Epoch { issued, provisional: 0 };
        let record = PoolRecord { epoch, owner: Some(me), standby: None };
        let expected = state.expected_revision();
        state.call = Call::Write(record.clone());
        out.push(ClusterAction::Write { pool: pool.clone(), expected, record });
    }

    /// Handles a failed call to the key-value service.
    pub(super) fn call_failed(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get(pool) else { return };
        let take_over = !state.owned && self.may_take_over(now, state, PROVISIONAL_TIMEOUT);
        let known = state.epoch;
        let Some(state) = self.pools.get_mut(pool) else { return };
        state.retry_at = now + RETRY_INTERVAL;
        let successor = self.pools.get(pool).and_then(|state| self.successor(pool, state));
        if take_over && successor.as_ref() == Some(self.members.me()) {
            let epoch = Epoch { provisional: known.provisional + 1, ..known };
            self.begin_term(now, pool, epoch, ClaimSource::Incomplete, out);
        }
    }

    /// Begins a term with this host as the owner of the pool.
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
        state.handed_over = false;
        state.ownerless_since = None;
        state.epoch = epoch;
        state.owner = Some(me.clone());
        state.standby = None;
        state.selected_standby = None;
        state.standby_ready = false;
        state.standby_uncertain = epoch.provisional > 0;
        state.verify_at = now + super::term::VERIFY_INTERVAL;
        let view = state.view();
        let announcement = announcement(pool, state, &me);
        out.push(ClusterAction::BeginTerm { pool: pool.clone(), epoch, claim_source });
        out.push(ClusterAction::OwnerChanged { pool: pool.clone(), view });
        out.push(ClusterAction::Announce { to: None, announcement });
        self.send_commit_condition(pool, out);
    }
}
