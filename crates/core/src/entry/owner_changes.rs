//! Changes of pool owners.

use crate::{
    ids::{HostId, PoolId},
    owner::EntryEvent,
    time::MonoTime,
};

use super::{Entry, EntryAction, OwnerView};

impl Entry {
    /// Records the owner of a pool, unless its epoch is outdated, and submits the
    /// pool's requests to it again. The owner may be the same one over a new session.
    pub(super) fn owner_changed(
        &mut self,
        now: MonoTime,
        pool: PoolId,
        view: OwnerView,
        out: &mut Vec<EntryAction>,
    ) {
        if self.owners.get(&pool).is_some_and(|old| old.epoch > view.epoch) {
            return;
        }
        self.owners.insert(pool.clone(), view);
        self.submit_again(now, &pool, out);
    }

    /// Sends the owner all waiting and in-progress requests of a pool.
    pub(super) fn submit_again(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<EntryAction>,
    ) {
        let in_progress = self.dispatched.values().filter(|d| d.pool() == pool);
        let adopt = |d: &super::Dispatched| EntryEvent::Adopt {
            submission: Box::new(d.submission(now)),
            runner: d.runner().clone(),
        };
        let mut events: Vec<_> = in_progress.map(adopt).collect();
        let waiting = self.waiting.values().filter(|w| w.pool() == pool);
        events.extend(waiting.map(|w| EntryEvent::Submit(Box::new(w.submission(now)))));
        for event in events {
            self.send_to_owner(now, pool, event, out);
        }
    }

    /// Clears the owner of every pool that `host` owned.
    pub(super) fn host_down(&mut self, host: &HostId) {
        for view in self.owners.values_mut() {
            if view.owner.as_ref() == Some(host) {
                view.owner = None;
            }
        }
    }
}
