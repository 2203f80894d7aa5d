//! Priority queue of waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fleet::RunnerVersion,
    ids::{ClassName, HostId, RequestId, RunnerName, Tier},
    request::RequestRecord,
    time::MonoTime,
};

/// Deadlines of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadlines {
    /// When the target ends: the first token or the whole response is due.
    pub(super) target_at: MonoTime,
    /// When the response must be complete.
    pub(super) respond_by: MonoTime,
    /// When the request is refused if it still waits.
    pub(super) refuse_at: MonoTime,
}

/// A request to add.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) record: RequestRecord,
    /// Expected number of generated tokens.
    pub(super) length: f64,
    pub(super) deadlines: Deadlines,
    /// Orders it within its tier.
    pub(super) latest_start: MonoTime,
    /// The runner it was sent to last.
    pub(super) avoid: Option<RunnerName>,
    /// The only software version that may run it.
    pub(super) version: Option<RunnerVersion>,
    /// True if it is beyond the share of its workspace.
    pub(super) over_share: bool,
}

/// Waiting requests of one rank and class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waiting {
    pub(super) requests: usize,
    pub(super) prompt_tokens: u64,
    /// Expected number of generated tokens.
    pub(super) response_tokens: f64,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) record: RequestRecord,
    /// Expected number of generated tokens.
    pub(super) length: f64,
    pub(super) deadlines: Deadlines,
    /// The runner it was sent to last.
    pub(super) avoid: Option<RunnerName>,
    /// The only software version that may run it.
    pub(super) version: Option<RunnerVersion>,
    pub(super) late: bool,
    /// True if it is beyond the share of its workspace.
    pub(super) over_share: bool,
    sort_key: SortKey,
}

impl WaitingRequest {
    /// Returns its tier, and whether it is beyond the share of its workspace.
    pub(super) fn rank(&self) -> Rank {
        (self.record.tier, self.over_share)
    }
}

/// Sort key: tier, whether it is beyond its share, lateness, latest start, and arrival
/// number.
type SortKey = (Tier, bool, bool, MonoTime, u64);

/// Tier of a request, and whether it is beyond the share of its workspace.
pub(super) type Rank = (Tier, bool);

/// Waiting requests, sorted by tier and latest start.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<RequestId, WaitingRequest>,
    order: BTreeSet<(SortKey, RequestId)>,
    by_class: BTreeMap<ClassName, BTreeSet<(SortKey, RequestId)>>,
    expiring: BTreeSet<(MonoTime, RequestId)>,
    totals: BTreeMap<(Rank, ClassName), Waiting>,
    last_number: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, request: NewRequest) {
        let NewRequest { record, length, deadlines, latest_start, avoid, version, over_share } =
            request;
        self.last_number += 1;
        let id = record.id;
        let sort_key = (record.tier, over_share, false, latest_start, self.last_number);
        let rank = (record.tier, over_share);
        let total = self.totals.entry((rank, record.class.clone())).or_default();
        total.requests += 1;
        total.prompt_tokens += u64::from(record.prefill_tokens);
        total.response_tokens += length;
        self.expiring.insert((deadlines.refuse_at, id));
        self.by_class.entry(record.class.clone()).or_default().insert((sort_key, id));
        let late = false;
        let waiting = WaitingRequest {
            record,
            length,
            deadlines,
            avoid,
            version,
            late,
            over_share,
            sort_key,
        };
        self.order.insert((sort_key, id));
        self.waiting.insert(id, waiting);
    }

    /// Keeps a request out of the order until its hold is released. It still expires.
    pub(super) fn hold(&mut self, id: RequestId) {
        if let Some(waiting) = self.waiting.get(&id) {
            let (sort_key, class) = (waiting.sort_key, waiting.record.class.clone());
            self.remove_from_order(sort_key, id, &class);
        }
    }

    /// Returns a held request to its position in the order.
    pub(super) fn release_hold(&mut self, id: RequestId) {
        let Some(waiting) = self.waiting.get(&id) else { return };
        let (sort_key, class) = (waiting.sort_key, waiting.record.class.clone());
        self.by_class.entry(class).or_default().insert((sort_key, id));
        self.order.insert((sort_key, id));
    }

    fn remove_from_order(&mut self, sort_key: SortKey, id: RequestId, class: &ClassName) {
        self.order.remove(&(sort_key, id));
        if let Some(requests) = self.by_class.get_mut(class) {
            requests.remove(&(sort_key, id));
            if requests.is_empty() {
                self.by_class.remove(class);
            }
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&id)?;
        self.remove_from_order(waiting.sort_key, id, &waiting.record.class);
        self.expiring.remove(&(waiting.deadlines.refuse_at, id));
        let key = (waiting.rank(), waiting.record.class.clone());
        if let Some(total) = self.totals.get_mut(&key) {
            total.requests -= 1;
            total.prompt_tokens -= u64::from(waiting.record.prefill_tokens);
            total.response_tokens -= waiting.length;
            if total.requests == 0 {
                self.totals.remove(&key);
            }
        }
        Some(waiting)
    }

    /// Removes a request that has waited as long as it may.
    pub(super) fn pop_expired(&mut self, now: MonoTime) -> Option<WaitingRequest> {
        let (refuse_at, id) = *self.expiring.first()?;
        if refuse_at > now {
            return None;
        }
        self.remove(id)
    }

    /// Returns what waits of each rank and class.
    pub(super) fn totals(&self) -> impl Iterator<Item = (Rank, &Waiting)> {
        self.totals.iter().map(|((rank, _), waiting)| (*rank, waiting))
    }

    /// Marks a request that can no longer meet its target, which moves it behind
    /// the others of its tier.
    pub(super) fn mark_late(&mut self, id: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&id).filter(|waiting| !waiting.late) else {
            return;
        };
        let before = waiting.sort_key;
        waiting.late = true;
        waiting.sort_key.2 = true;
        let after = waiting.sort_key;
        let in_class = self.by_class.get_mut(&waiting.record.class);
        for requests in in_class.into_iter().chain([&mut self.order]) {
            requests.remove(&(before, id));
            requests.insert((after, id));
        }
    }

    /// Returns the classes of which requests are waiting.
    pub(super) fn classes(&self) -> impl Iterator<Item = &ClassName> {
        self.by_class.keys()
    }

    pub(super) fn waiting_in_class(&self, class: &ClassName) -> usize {
        self.by_class.get(class).map_or(0, BTreeSet::len)
    }

    /// Returns the first `count` requests of a class.
    pub(super) fn first_of_class(
        &self,
        class: &ClassName,
        count: usize,
    ) -> impl Iterator<Item = (RequestId, &WaitingRequest)> {
        let ids = self.by_class.get(class).into_iter().flatten().take(count).map(|(_, id)| *id);
        ids.filter_map(|id| self.waiting.get(&id).map(|waiting| (id, waiting)))
    }

    /// Returns the first `count` requests.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = (RequestId, &WaitingRequest)> {
        let ids = self.order.iter().take(count).map(|(_, id)| *id);
        ids.filter_map(|id| self.waiting.get(&id).map(|waiting| (id, waiting)))
    }

    /// Returns the ids of a host's requests.
    pub(super) fn ids_of_host(&self, host: &HostId) -> Vec<RequestId> {
        let ids = self.waiting.iter().filter(|(_, waiting)| waiting.record.entry == *host);
        ids.map(|(id, _)| *id).collect()
    }
}
