//! Replies of the key-value service.

use crate::{
    ids::{Epoch, PoolId},
    time::MonoTime,
};

use super::{
    ClaimSource, Cluster, ClusterAction, PoolRecord, PresenceResult, ReadResult, StoredRecord,
    WriteResult, pool_state::Call, takeover::RETRY_INTERVAL,
};

impl Cluster {
    pub(super) fn read_completed(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        result: ReadResult,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        let call = std::mem::replace(&mut state.call, Call::Idle);
        let stored = match (call, result) {
            (Call::Read | Call::ReadBack(_), ReadResult::Record(stored)) => stored,
            (Call::ReadBack(record), ReadResult::Failed) => {
                state.call = Call::ReadBack(record);
                return self.call_failed(now, pool, out);
            }
            (Call::Read, ReadResult::Failed) => return self.call_failed(now, pool, out),
            (other, _) => {
                state.call = other;
                return;
            }
        };
        self.record_found(now, pool, stored, out);
    }

    /// Handles the record that the service holds.
    fn record_found(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        stored: Option<StoredRecord>,
        out: &mut Vec<ClusterAction>,
    ) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        let previous = state.stored.take();
        state.stored = stored;
        let record = state.stored.as_ref().map(|s| s.record.clone()).unwrap_or_default();
        let names_this_host = record.owner.as_ref() == Some(&me);
        let term_not_begun = !state.owned && record.epoch == state.epoch;
        if names_this_host && (record.epoch > state.epoch || term_not_begun) {
            let claim_source = self.claim_source(pool, previous.as_ref());
            return self.begin_term(now, pool, record.epoch, claim_source, out);
        }
        if state.owned {
            return self.record_found_as_owner(now, pool, names_this_host, &record, out);
        }
        if record.epoch > state.epoch {
            state.follow(pool, record.epoch, record.owner.clone(), out);
        }
        state.standby = record.standby;
        let owner_up = state.owner.as_ref().is_some_and(|owner| self.members.is_up(owner));
        if !owner_up || state.handed_over {
            self.try_take_over(now, pool, out);
        }
    }

    fn record_found_as_owner(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        names_this_host: bool,
        record: &PoolRecord,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if names_this_host && record.epoch == state.epoch {
            state.standby_uncertain = false;
            self.send_commit_condition(pool, out);
        } else if record.epoch > state.epoch {
            state.follow(pool, record.epoch, record.owner.clone(), out);
        } else if state.epoch.provisional > 0 {
            self.write_term(pool, out);
        } else {
            state.verify_at = now + RETRY_INTERVAL;
        }
    }

    pub(super) fn write_completed(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        result: WriteResult,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        let Call::Write(record) = std::mem::replace(&mut state.call, Call::Idle) else { return };
        match result {
            WriteResult::Written(revision) => self.write_applied(now, pool, revision, record, out),
            WriteResult::Mismatch(stored) => self.record_found(now, pool, stored, out),
            WriteResult::NotDone => self.call_failed(now, pool, out),
            WriteResult::Uncertain => {
                state.call = Call::ReadBack(record);
                state.standby_uncertain = true;
                out.push(ClusterAction::Read(pool.clone()));
                self.send_commit_condition(pool, out);
            }
        }
    }

    /// Handles a write that was applied.
    fn write_applied(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        revision: u64,
        record: PoolRecord,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        let epoch = record.epoch;
        let previous = state.stored.replace(StoredRecord { revision, record });
        if state.owned && state.epoch == epoch {
            state.standby_uncertain = false;
            self.announce(pool, out);
            return self.send_commit_condition(pool, out);
        }
        if epoch > state.epoch {
            let claim_source = self.claim_source(pool, previous.as_ref());
            self.begin_term(now, pool, epoch, claim_source, out);
        }
    }

    /// Source of the claims for a term that replaces the record `previous`.
    fn claim_source(&self, pool: &PoolId, previous: Option<&StoredRecord>) -> ClaimSource {
        let me = self.members.me();
        let known = self.pools.get(pool).map(|state| state.epoch).unwrap_or_default();
        let Some(previous) = previous.map(|stored| &stored.record) else {
            return match known == Epoch::default() {
                true => ClaimSource::FirstTerm,
                false => ClaimSource::Incomplete,
            };
        };
        match &previous.owner {
            Some(owner) if owner == me && previous.epoch == known => ClaimSource::SameOwner,
            Some(owner) if previous.standby.as_ref() == Some(me) => {
                ClaimSource::StandbyCopy { owner: owner.clone(), epoch: previous.epoch }
            }
            _ => ClaimSource::Incomplete,
        }
    }

    pub(super) fn presence_read_completed(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        result: PresenceResult,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if state.call != Call::Presence {
            return;
        }
        state.call = Call::Idle;
        let owner = state.stored.as_ref().and_then(|stored| stored.record.owner.clone());
        match result {
            PresenceResult::Held(host) if Some(&host) == owner.as_ref() => {
                self.owner_lease_held(now, pool, out);
            }
            PresenceResult::Held(_) | PresenceResult::Expired => self.write_term(pool, out),
            PresenceResult::Failed => self.call_failed(now, pool, out),
        }
    }
}
