//! Timeouts of waiting requests, and events that renew the validity of grants.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{PoolId, RequestId},
    outcome::NotRunReason,
    owner::EntryEvent,
    time::MonoTime,
};

use super::{Entry, EntryAction, state::respond_not_run};

/// Tick interval while requests wait, and time since the latest event to an owner
/// after which the entry sends [`EntryEvent::Refresh`].
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Time past the target for which the owner's refusal is awaited.
const OWNER_GRACE: Duration = Duration::from_millis(500);

impl Entry {
    /// Withdraws overdue requests and sends events that renew the validity of grants.
    pub(super) fn tick(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        if self.timer.is_some_and(|at| now < at) {
            return;
        }
        self.timer = None;
        for (id, reason) in self.overdue(now) {
            if let Some(waiting) = self.withdraw(now, id, out) {
                respond_not_run(&waiting, false, reason, out);
            }
        }
        let pools: BTreeSet<PoolId> = self.waiting.values().map(|w| w.pool().clone()).collect();
        for pool in pools {
            if self.last_sent_at.get(&pool).is_none_or(|&sent_at| now >= sent_at + REFRESH_INTERVAL)
            {
                self.send_to_owner(now, &pool, EntryEvent::Refresh, out);
            }
        }
    }

    fn overdue(&self, now: MonoTime) -> Vec<(RequestId, NotRunReason)> {
        let has_owner = |pool| self.owners.get(pool).is_some_and(|view| view.owner.is_some());
        let reason = |id: &RequestId| {
            let waiting = self.waiting.get(id)?;
            let (grace, reason) = match has_owner(waiting.pool()) {
                true => (OWNER_GRACE, NotRunReason::TargetUnreachable),
                false => (Duration::ZERO, NotRunReason::NoOwner),
            };
            (now >= waiting.deadline() + grace).then_some((*id, reason))
        };
        self.waiting.keys().filter_map(reason).collect()
    }

    /// Requests the next tick while requests wait.
    pub(super) fn arm_timer(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        if self.timer.is_none() && !self.waiting.is_empty() {
            let at = now + REFRESH_INTERVAL;
            self.timer = Some(at);
            out.push(EntryAction::SetTimer(at));
        }
    }
}
