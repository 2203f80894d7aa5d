//! An owner's term: choice of the standby, checks of the stored record, and the
//! condition for committing claims.

use std::time::Duration;

use crate::{
    ids::{HostId, PoolId},
    owner::CommitCondition,
    time::MonoTime,
};

use super::{
    Cluster, ClusterAction, PoolRecord,
    pool_state::{Call, PoolState},
    rendezvous_order,
    state::announcement,
    takeover::RETRY_INTERVAL,
};

/// Interval at which an owner reads the stored record to verify its ownership.
pub(super) const VERIFY_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between attempts to replace a provisional epoch by an issued one.
const ISSUE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Cluster {
    pub(super) fn review_owned(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<ClusterAction>,
    ) {
        self.select_standby(pool, out);
        let Some(state) = self.pools.get_mut(pool) else { return };
        match &state.call {
            Call::Idle => {}
            Call::ReadBack(_) if now >= state.retry_at => {
                state.retry_at = now + RETRY_INTERVAL;
                out.push(ClusterAction::Read(pool.clone()));
                return;
            }
            _ => return,
        }
        if now < state.retry_at {
            return;
        }
        let ready_standby = state.selected_standby.clone().filter(|_| state.standby_ready);
        if state.epoch.provisional == 0 && state.recorded_standby() != ready_standby.as_ref() {
            self.record_standby(pool, ready_standby, out);
        } else if now >= state.verify_at {
            let provisional = state.epoch.provisional > 0;
            state.verify_at =
                now + if provisional { ISSUE_RETRY_INTERVAL } else { VERIFY_INTERVAL };
            state.call = Call::Read;
            out.push(ClusterAction::Read(pool.clone()));
        }
    }

    /// Selects the first candidate of the rendezvous order as the standby, and
    /// another one only if that host is no longer a candidate.
    fn select_standby(&mut self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let selected = state.selected_standby.as_ref();
        if selected.is_some_and(|host| self.members.is_candidate(host)) {
            return;
        }
        let host = self.best_standby(pool);
        let Some(state) = self.pools.get_mut(pool) else { return };
        if state.selected_standby == host {
            return;
        }
        state.selected_standby.clone_from(&host);
        state.standby_ready = false;
        out.push(ClusterAction::SetStandby { pool: pool.clone(), host });
        self.send_commit_condition(pool, out);
    }

    fn best_standby(&self, pool: &PoolId) -> Option<HostId> {
        let me = self.members.me();
        let others: Vec<&HostId> = self.members.candidates().filter(|host| *host != me).collect();
        let best =
            rendezvous_order(pool, others.iter().map(|host| &host.name)).into_iter().next()?;
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
        let expected = state.expected_revision();
        state.call = Call::Write(record.clone());
        out.push(ClusterAction::Write { pool: pool.clone(), expected, record });
    }

    pub(super) fn standby_ready(&mut self, pool: &PoolId, host: &HostId) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if state.owned && state.selected_standby.as_ref() == Some(host) {
            state.standby_ready = true;
        }
    }

    pub(super) fn lease_renewed(&mut self, until: MonoTime, out: &mut Vec<ClusterAction>) {
        self.lease_until = until;
        let pools: Vec<PoolId> = self.owned().cloned().collect();
        for pool in &pools {
            if self.pools.get(pool).is_some_and(|state| state.recorded_standby().is_none()) {
                self.send_commit_condition(pool, out);
            }
        }
    }

    pub(super) fn announce(&self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool) else { return };
        let announcement = announcement(pool, state, self.members.me());
        out.push(ClusterAction::Announce { to: None, announcement });
    }

    pub(super) fn send_commit_condition(&self, pool: &PoolId, out: &mut Vec<ClusterAction>) {
        let Some(state) = self.pools.get(pool).filter(|state| state.owned) else { return };
        let condition = self.commit_condition(state);
        out.push(ClusterAction::SetCommitCondition { pool: pool.clone(), condition });
    }

    /// Condition under which the owner commits claims. A recorded standby that is
    /// not the selected one can't acknowledge, so claims are blocked until another
    /// record is written.
    fn commit_condition(&self, state: &PoolState) -> CommitCondition {
        if state.standby_uncertain {
            return CommitCondition::Blocked;
        }
        match state.recorded_standby() {
            None => CommitCondition::LeaseOnly { until: self.lease_until },
            Some(host) if state.selected_standby.as_ref() == Some(host) => {
                CommitCondition::StandbyAck(host.clone())
            }
            Some(_) => CommitCondition::Blocked,
        }
    }
}
