//! Waiting requests of a pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{RequestId, Tier},
    time::MonoTime,
};

use super::{
    fair::FairQueue,
    grant_rate::GrantRate,
    hash::StableMap,
    request::{Deferral, LengthClass, Request},
    runner::RunnerIx,
};

/// Queue of one tier and length class.
#[derive(Debug)]
pub(super) struct TierQueue {
    pub(super) fair: FairQueue,
    pub(super) grant_rate: GrantRate,
}

/// All waiting requests of a pool, by identity, by queue, and by arrival.
#[derive(Debug)]
pub(super) struct Queues {
    share_window: u64,
    requests: StableMap<RequestId, Box<Request>>,
    queues: BTreeMap<(Tier, LengthClass), TierQueue>,
    /// Requests by tier and arrival. The last one is shed first.
    arrivals: BTreeSet<(Tier, u64, RequestId)>,
    bytes: u64,
    /// Requests that are deferred for a runner and in no queue meanwhile.
    deferred: BTreeMap<RunnerIx, BTreeSet<(Tier, MonoTime, RequestId)>>,
}

impl TierQueue {
    fn new(share_window: u64) -> Self {
        Self { fair: FairQueue::new(share_window), grant_rate: GrantRate::default() }
    }
}

impl Queues {
    pub(super) fn new(share_window: u64) -> Self {
        Self {
            share_window,
            requests: StableMap::default(),
            queues: BTreeMap::new(),
            arrivals: BTreeSet::new(),
            bytes: 0,
            deferred: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).map(Box::as_ref)
    }

    pub(super) fn insert(&mut self, request: Box<Request>) {
        let record = &request.record;
        self.add_to_queue(&request);
        self.arrivals.insert((record.tier, request.arrival, record.id));
        self.bytes += u64::from(record.body_bytes);
        self.requests.insert(record.id, request);
    }

    /// Removes a request without charging its work to its workspace.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.take(id, false)
    }

    /// Removes a request to grant it, and charges its work to its workspace.
    pub(super) fn remove_for_grant(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.take(id, true)
    }

    fn take(&mut self, id: RequestId, charge: bool) -> Option<Box<Request>> {
        let request = self.requests.remove(&id)?;
        let record = &request.record;
        match request.deferral {
            Some(deferral) => self.remove_deferred(&request, deferral),
            None => self.remove_from_queue(&request, charge),
        }
        self.arrivals.remove(&(record.tier, request.arrival, id));
        self.bytes -= u64::from(record.body_bytes);
        Some(request)
    }

    /// Takes a request out of its queue and defers it for a runner.
    pub(super) fn defer(&mut self, id: RequestId, deferral: Deferral) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.remove_from_queue(&request, false);
        request.deferral = Some(deferral);
        let key = (request.record.tier, request.latest_start, id);
        self.deferred.entry(deferral.runner).or_default().insert(key);
        self.requests.insert(id, request);
    }

    /// Puts a deferred request back into the queue of a length class.
    pub(super) fn end_deferral(&mut self, id: RequestId, length: LengthClass) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(deferral) = request.deferral.take() {
            self.remove_deferred(&request, deferral);
            request.length = length;
            self.add_to_queue(&request);
        }
        self.requests.insert(id, request);
    }

    /// Moves a request to the queue of another length class.
    pub(super) fn change_length_class(&mut self, id: RequestId, length: LengthClass) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.remove_from_queue(&request, false);
        request.length = length;
        self.add_to_queue(&request);
        self.requests.insert(id, request);
    }

    /// Returns the first request that is deferred for a runner.
    pub(super) fn first_deferred(&self, runner: RunnerIx) -> Option<RequestId> {
        self.deferred.get(&runner)?.first().map(|&(_, _, id)| id)
    }

    /// Returns the number of requests that are deferred for a runner.
    pub(super) fn deferred_count(&self, runner: RunnerIx) -> usize {
        self.deferred.get(&runner).map_or(0, BTreeSet::len)
    }

    fn add_to_queue(&mut self, request: &Request) {
        let record = &request.record;
        let key = (record.tier, request.length);
        let window = self.share_window;
        let queue = self.queues.entry(key).or_insert_with(|| TierQueue::new(window));
        let rank = (request.latest_start, record.id);
        queue.fair.insert(&record.workspace, rank, request.work());
    }

    fn remove_from_queue(&mut self, request: &Request, charge: bool) {
        let record = &request.record;
        if let Some(queue) = self.queues.get_mut(&(record.tier, request.length)) {
            let rank = (request.latest_start, record.id);
            queue.fair.remove(&record.workspace, rank, request.work(), charge);
        }
    }

    fn remove_deferred(&mut self, request: &Request, deferral: Deferral) {
        let Some(deferred) = self.deferred.get_mut(&deferral.runner) else { return };
        let key = (request.record.tier, request.latest_start, request.record.id);
        deferred.remove(&key);
        if deferred.is_empty() {
            self.deferred.remove(&deferral.runner);
        }
    }

    /// Returns the newest request of the lowest tier with waiting requests.
    pub(super) fn next_to_shed(&self) -> Option<(Tier, RequestId)> {
        self.arrivals.last().map(|&(tier, _, id)| (tier, id))
    }

    /// Iterates over the queues in order of tier and length class.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Tier, LengthClass, &TierQueue)> {
        self.queues.iter().map(|(&(tier, length), queue)| (tier, length, queue))
    }

    pub(super) fn queue(&self, tier: Tier, length: LengthClass) -> Option<&TierQueue> {
        self.queues.get(&(tier, length))
    }

    pub(super) fn queue_mut(&mut self, tier: Tier, length: LengthClass) -> Option<&mut TierQueue> {
        self.queues.get_mut(&(tier, length))
    }
}
