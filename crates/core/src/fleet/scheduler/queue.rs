//! Waiting requests in the order in which they go.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{ClassName, HostId, RequestId, RunnerName, Tier},
    request::RequestRecord,
    time::MonoTime,
};

/// Points in time of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// When the target ends.
    pub(super) due: MonoTime,
    /// When the caller gets its final answer at the latest.
    pub(super) until: MonoTime,
    /// When it is refused if it still waits.
    pub(super) refuse_at: MonoTime,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) record: RequestRecord,
    pub(super) times: Times,
    /// The runner that it was sent to last.
    pub(super) avoid: Option<RunnerName>,
    pub(super) late: bool,
    order: Order,
}

/// Place in the queue, the least goes first.
type Order = (Tier, bool, MonoTime, u64);

/// Waiting requests in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<RequestId, Waiting>,
    order: BTreeSet<(Order, RequestId)>,
    expiring: BTreeSet<(MonoTime, RequestId)>,
    /// Requests and their prompt tokens together.
    sums: BTreeMap<(Tier, ClassName), (usize, u64)>,
    next_number: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Adds a request; `rank_by` orders it within its tier.
    pub(super) fn insert(
        &mut self,
        record: RequestRecord,
        times: Times,
        rank_by: MonoTime,
        avoid: Option<RunnerName>,
    ) {
        self.next_number += 1;
        let id = record.id;
        let order = (record.tier, false, rank_by, self.next_number);
        let sum = self.sums.entry((record.tier, record.class.clone())).or_default();
        sum.0 += 1;
        sum.1 += u64::from(record.prefill_tokens);
        self.expiring.insert((times.refuse_at, id));
        let waiting = Waiting { record, times, avoid, late: false, order };
        self.order.insert((order, id));
        self.waiting.insert(id, waiting);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.order.remove(&(waiting.order, id));
        self.expiring.remove(&(waiting.times.refuse_at, id));
        let kind = (waiting.record.tier, waiting.record.class.clone());
        if let Some(sum) = self.sums.get_mut(&kind) {
            sum.0 -= 1;
            sum.1 -= u64::from(waiting.record.prefill_tokens);
            if sum.0 == 0 {
                self.sums.remove(&kind);
            }
        }
        Some(waiting)
    }

    /// Takes out a request that has waited as long as it may.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Option<Waiting> {
        let (refuse_at, id) = *self.expiring.first()?;
        if refuse_at > now {
            return None;
        }
        self.remove(id)
    }

    /// Tier and class with the number of waiting requests and their prompt
    /// tokens together.
    pub(super) fn sums(&self) -> impl Iterator<Item = (Tier, &ClassName, usize, u64)> {
        self.sums.iter().map(|((tier, class), (count, prompt))| (*tier, class, *count, *prompt))
    }

    /// The request can't meet its target any more.
    pub(super) fn mark_late(&mut self, id: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&id).filter(|waiting| !waiting.late) else {
            return;
        };
        self.order.remove(&(waiting.order, id));
        waiting.late = true;
        waiting.order.1 = true;
        self.order.insert((waiting.order, id));
    }

    /// The first `count` requests in order.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = (RequestId, &Waiting)> {
        let ids = self.order.iter().take(count).map(|(_, id)| *id);
        ids.filter_map(|id| self.waiting.get(&id).map(|waiting| (id, waiting)))
    }

    /// Requests of a host that is gone.
    pub(super) fn of_host(&self, host: &HostId) -> Vec<RequestId> {
        let own = self.waiting.iter().filter(|(_, waiting)| waiting.record.entry == *host);
        own.map(|(id, _)| *id).collect()
    }
}
