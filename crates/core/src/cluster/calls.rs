//! Answers of the key-value service.

use crate::{
    ids::{Epoch, PoolId},
    time::MonoTime,
};

use super::{
    ClaimSource, Cluster, ClusterAction, PoolRecord, PresenceResult, ReadResult, StoredRecord,
    WriteResult, pool_state::Call, takeover::RETRY,
};

impl Cluster {
    pub(super) fn read(
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
                return self.service_failed(now, pool, out);
            }
            (Call::Read, ReadResult::Failed) => return self.service_failed(now, pool, out),
            (other, _) => {
                state.call = other;
                return;
            }
        };
        self.found(now, pool, stored, out);
    }

    /// The service holds this record.
    fn found(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        stored: Option<StoredRecord>,
        out: &mut Vec<ClusterAction>,
    ) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(pool) else { return };
        let before = state.stored.take();
        state.stored = stored;
        let record = state.stored.as_ref().map(|s| s.record.clone()).unwrap_or_default();
        let mine = record.owner.as_ref() == Some(&me);
        let unserved = !state.owned && record.epoch == state.epoch;
        if mine && (record.epoch > state.epoch || unserved) {
            let claim_source = self.claim_source(pool, before.as_ref());
            return self.begin_term(now, pool, record.epoch, claim_source, out);
        }
        if state.owned {
            return self.found_as_owner(now, pool, mine, &record, out);
        }
        if record.epoch > state.epoch {
            state.follow(pool, record.epoch, record.owner.clone(), out);
        }
        state.standby = record.standby;
        let served = state.owner.as_ref().is_some_and(|owner| self.members.is_alive(owner));
        if !served || state.resigned {
            self.consider(now, pool, out);
        }
    }

    fn found_as_owner(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        mine: bool,
        record: &PoolRecord,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if mine && record.epoch == state.epoch {
            state.unproved = false;
            self.tell_guard(pool, out);
        } else if record.epoch > state.epoch {
            state.follow(pool, record.epoch, record.owner.clone(), out);
        } else if state.epoch.provisional > 0 {
            self.write_term(pool, out);
        } else {
            state.verify_at = now + RETRY;
        }
    }

    pub(super) fn written(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        result: WriteResult,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        let Call::Write(record) = std::mem::replace(&mut state.call, Call::Idle) else { return };
        match result {
            WriteResult::Written(revision) => self.wrote(now, pool, revision, record, out),
            WriteResult::Mismatch(stored) => self.found(now, pool, stored, out),
            WriteResult::NotDone => self.service_failed(now, pool, out),
            WriteResult::Uncertain => {
                state.call = Call::ReadBack(record);
                state.unproved = true;
                out.push(ClusterAction::Read(pool.clone()));
                self.tell_guard(pool, out);
            }
        }
    }

    /// A write took effect.
    fn wrote(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        revision: u64,
        record: PoolRecord,
        out: &mut Vec<ClusterAction>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        let epoch = record.epoch;
        let before = state.stored.replace(StoredRecord { revision, record });
        if state.owned && state.epoch == epoch {
            state.unproved = false;
            self.announce(pool, out);
            return self.tell_guard(pool, out);
        }
        if epoch > state.epoch {
            let claim_source = self.claim_source(pool, before.as_ref());
            self.begin_term(now, pool, epoch, claim_source, out);
        }
    }

    /// Claims that a term starts with, given the record that it replaces.
    fn claim_source(&self, pool: &PoolId, before: Option<&StoredRecord>) -> ClaimSource {
        let me = self.members.me();
        let known = self.pools.get(pool).map(|state| state.epoch).unwrap_or_default();
        let Some(before) = before.map(|stored| &stored.record) else {
            return match known == Epoch::default() {
                true => ClaimSource::FirstTerm,
                false => ClaimSource::Incomplete,
            };
        };
        match &before.owner {
            Some(owner) if owner == me && before.epoch == known => ClaimSource::SameOwner,
            Some(owner) if before.standby.as_ref() == Some(me) => {
                ClaimSource::StandbyCopy { owner: owner.clone(), epoch: before.epoch }
            }
            _ => ClaimSource::Incomplete,
        }
    }

    pub(super) fn presence(
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
                self.owner_present(now, pool, out);
            }
            PresenceResult::Held(_) | PresenceResult::Expired => self.write_term(pool, out),
            PresenceResult::Failed => self.service_failed(now, pool, out),
        }
    }
}
