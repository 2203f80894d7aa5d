//! What an owner does during its term.

use std::time::Duration;

use crate::{
    ids::{HostId, PoolId},
    owner::CommitCondition,
    time::MonoTime,
};

use super::{
    Cluster, ClusterAction, PoolRecord,
    pool_state::{Call, PoolState},
    rank,
    state::announcement,
    takeover::RETRY,
};

/// Time between two reads by which an owner checks that it still is one.
pub(super) const VERIFY: Duration = Duration::from_secs(5);

/// Time between two attempts to replace a provisional epoch.
const ISSUE_RETRY: Duration = Duration::from_secs(1);

impl Cluster {
    pub(super) fn review_owned(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        self.choose_standby(pool, out);
        let Some(state) = self.pools.get_mut(pool) else { return };
        match &state.call {
            Call::Idle => {}
            Call::ReadBack(_) if now >= state.retry_at => {
                state.retry_at = now + RETRY;
                out.push(ClusterAction::Read(pool.clone()));
                return;
            }
            _ => return,
        }
        if now < state.retry_at {
            return;
        }
        let ready = state.used_standby.clone().filter(|_| state.standby_ready);
        if state.epoch.provisional == 0 && state.recorded_standby() != ready.as_ref() {
            self.record_standby(pool, ready, out);
        } else if now >= state.verify_at {
            let provisional = state.epoch.provisional > 0;
            state.verify_at = now + if provisional { ISSUE_RETRY } else { VERIFY };
            state.call = Call::Read;
            out.push(ClusterAction::Read(pool.clone()));
        }
    }

    /// Sends claims to the first live host of the rank, and to another one only
    /// if that host is gone.
    fn choose_standby(&mut self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let used = state.used_standby.as_ref();
        if used.is_some_and(|host| self.members.is_candidate(host)) {
            return;
        }
        let host = self.best_standby(pool);
        let Some(state) = self.pools.get_mut(pool) else { return };
        if state.used_standby == host {
            return;
        }
        state.used_standby.clone_from(&host);
        state.standby_ready = false;
        out.push(ClusterAction::SetStandby { pool: pool.clone(), host });
        self.tell_guard(pool, out);
    }

    fn best_standby(&self, pool: &PoolId) -> Option<HostId> {
        let me = self.members.me();
        let others: Vec<&HostId> = self.members.candidates().filter(|host| *host != me).collect();
        let best = rank(pool, others.iter().map(|host| &host.name)).into_iter().next()?;
        others.iter().find(|host| host.name == *best).map(|host| (*host).clone())
    }

    fn record_standby(
        &mut self,
        pool: &PoolId,
        standby: Option<HostId>,
        out: &mut Vec<ClusterAction>,
    ) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        let record = PoolRecord { epoch: state.epoch, owner: Some(me), standby };
        let expected = state.revision();
        state.call = Call::Write(record.clone());
        out.push(ClusterAction::Write { pool: pool.clone(), expected, record });
    }

    pub(super) fn standby_ready(&mut self, pool: &PoolId, host: &HostId) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if state.owned && state.used_standby.as_ref() == Some(host) {
            state.standby_ready = true;
        }
    }

    pub(super) fn lease(&mut self, until: MonoTime, out: &mut Vec<ClusterAction>) {
        self.lease_until = until;
        let pools: Vec<PoolId> = self.owned().cloned().collect();
        for pool in &pools {
            if self.pools.get(pool).is_some_and(|state| state.recorded_standby().is_none()) {
                self.tell_guard(pool, out);
            }
        }
    }

    pub(super) fn announce(&self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let announcement = announcement(pool, state, self.members.me());
        out.push(ClusterAction::Announce { to: None, announcement });
    }

    pub(super) fn tell_guard(&self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool).filter(|state| state.owned) else { return };
        let condition = self.commit_condition(state);
        out.push(ClusterAction::SetCommitCondition { pool: pool.clone(), condition });
    }

    /// A recorded standby that is not the one in use can't acknowledge, so that
    /// nothing is proved until another record is written.
    fn commit_condition(&self, state: &PoolState) -> CommitCondition {
        if state.unproved {
            return CommitCondition::Blocked;
        }
        match state.recorded_standby() {
            None => CommitCondition::LeaseOnly { until: self.lease_until },
            Some(host) if state.used_standby.as_ref() == Some(host) => {
                CommitCondition::StandbyAck(host.clone())
            }
            Some(_) => CommitCondition::Blocked,
        }
    }
}
