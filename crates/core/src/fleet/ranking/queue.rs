//! Waiting requests in the order in which they go.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{HostId, RequestId, RunnerName, Tier},
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
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<RequestId, Waiting>,
    order: BTreeSet<(Order, RequestId)>,
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
        let waiting = Waiting { record, times, avoid, late: false, order };
        self.order.insert((order, id));
        self.waiting.insert(id, waiting);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.order.remove(&(waiting.order, id));
        Some(waiting)
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

    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &Waiting)> {
        self.waiting.iter().map(|(id, waiting)| (*id, waiting))
    }

    /// Requests of a host that is gone.
    pub(super) fn of_host(&self, host: &HostId) -> Vec<RequestId> {
        let own = self.waiting.iter().filter(|(_, waiting)| waiting.record.entry == *host);
        own.map(|(id, _)| *id).collect()
    }
}
