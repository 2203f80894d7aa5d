//! What owners tell an entry.

use crate::{
    ids::{Epoch, HostId, PoolId, RequestId},
    outcome::RetryReason,
    owner::{EntryEvent, OwnerEvent, RepeatResponse},
    request::Grant,
    time::MonoTime,
};

use super::{Entry, EntryAction, OwnerView};

impl Entry {
    pub(super) fn owner_event(
        &mut self,
        now: MonoTime,
        owner: HostId,
        pool: &PoolId,
        epoch: Epoch,
        event: OwnerEvent,
        out: &mut Vec<EntryAction>,
    ) {
        let known = self.owners.get(pool).map(|view| view.epoch);
        if known.is_some_and(|known| epoch < known) {
            return;
        }
        if known != Some(epoch) {
            let view = OwnerView { owner: Some(owner), epoch };
            self.owner_changed(now, pool.clone(), view, out);
        }
        match event {
            OwnerEvent::Granted { grant, entry_sent_at } => {
                self.granted(now, pool, &grant, entry_sent_at, out);
            }
            OwnerEvent::SubmitAgain => self.submit_again(now, pool, out),
            OwnerEvent::Refused { id, reason, retry_after } => {
                if self.withdraw(now, id, out).is_some() {
                    out.push(EntryAction::RespondNotRun { id, reason, retry_after });
                }
            }
            OwnerEvent::Repeat { id, response } => self.repeated(id, response, out),
        }
    }

    fn granted(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        grant: &Grant,
        entry_sent_at: MonoTime,
        out: &mut Vec<EntryAction>,
    ) {
        let id = grant.id;
        if self.dispatched.contains_key(&id) {
            return;
        }
        if !self.waiting.contains_key(&id) {
            self.tell(now, pool, EntryEvent::NotHeld(id), out);
            return;
        }
        if now > entry_sent_at + grant.valid_for {
            let reason = RetryReason::GrantExpired;
            self.tell(now, pool, EntryEvent::GrantUnused { id, reason }, out);
            return;
        }
        let Some(waiting) = self.waiting.remove(&id) else { return };
        self.tell(now, pool, EntryEvent::Dispatched(id), out);
        self.dispatched.insert(id, waiting.dispatch(grant));
        let (pool, runner, epoch) = (pool.clone(), grant.runner.clone(), grant.epoch);
        out.push(EntryAction::Dispatch { id, pool, runner, epoch });
    }

    fn repeated(&mut self, id: RequestId, response: RepeatResponse, out: &mut Vec<EntryAction>) {
        if self.waiting.remove(&id).is_none() {
            return;
        }
        out.push(match response {
            RepeatResponse::Attach { id: first, holder } => {
                EntryAction::Attach { id, first, holder }
            }
            RepeatResponse::Unknown(reason) => EntryAction::RespondUnknown { id, reason },
        });
    }
}
