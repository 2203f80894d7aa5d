//! All waiting requests of a pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{RequestId, Tier},
    time::MonoTime,
};

use super::{
    drain::DrainRate,
    fair::FairQueue,
    hash::StableMap,
    request::{Hold, LengthClass, Request},
    runner::RunnerIx,
};

/// Queue of one tier and length class.
#[derive(Debug)]
pub(super) struct TierQueue {
    pub(super) fair: FairQueue,
    pub(super) drain: DrainRate,
}

/// All waiting requests of a pool, by identity, by order, and by arrival.
#[derive(Debug)]
pub(super) struct Queues {
    share_window: u64,
    requests: StableMap<RequestId, Box<Request>>,
    queues: BTreeMap<(Tier, LengthClass), TierQueue>,
    /// Requests by tier and arrival; the last one is shed first.
    arrivals: BTreeSet<(Tier, u64, RequestId)>,
    bytes: u64,
    /// Requests that are held for a runner, out of their queue.
    held: BTreeMap<RunnerIx, BTreeSet<(Tier, MonoTime, RequestId)>>,
}

impl TierQueue {
    fn new(share_window: u64) -> Self {
        Self { fair: FairQueue::new(share_window), drain: DrainRate::default() }
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
            held: BTreeMap::new(),
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
        self.join(&request);
        self.arrivals.insert((record.tier, request.sequence, record.id));
        self.bytes += u64::from(record.body_bytes);
        self.requests.insert(record.id, request);
    }

    /// Takes a request out without counting it as granted.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.take(id, false)
    }

    /// Takes a request out in order to grant it.
    pub(super) fn grant(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.take(id, true)
    }

    fn take(&mut self, id: RequestId, charge: bool) -> Option<Box<Request>> {
        let request = self.requests.remove(&id)?;
        let record = &request.record;
        match request.hold {
            Some(hold) => self.forget_hold(&request, hold),
            None => self.leave(&request, charge),
        }
        self.arrivals.remove(&(record.tier, request.sequence, id));
        self.bytes -= u64::from(record.body_bytes);
        Some(request)
    }

    /// Takes a request out of its queue and holds it for a runner.
    pub(super) fn hold(&mut self, id: RequestId, hold: Hold) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.leave(&request, false);
        request.hold = Some(hold);
        let key = (request.record.tier, request.latest_start, id);
        self.held.entry(hold.runner).or_default().insert(key);
        self.requests.insert(id, request);
    }

    /// Puts a held request back into the queue of a length class.
    pub(super) fn end_hold(&mut self, id: RequestId, length: LengthClass) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(hold) = request.hold.take() {
            self.forget_hold(&request, hold);
            request.length = length;
            self.join(&request);
        }
        self.requests.insert(id, request);
    }

    /// Moves a request to the queue of another length class.
    pub(super) fn refile(&mut self, id: RequestId, length: LengthClass) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.leave(&request, false);
        request.length = length;
        self.join(&request);
        self.requests.insert(id, request);
    }

    /// The first request that is held for a runner.
    pub(super) fn first_held(&self, runner: RunnerIx) -> Option<RequestId> {
        self.held.get(&runner)?.first().map(|&(_, _, id)| id)
    }

    /// Number of requests that are held for a runner.
    pub(super) fn held_for(&self, runner: RunnerIx) -> usize {
        self.held.get(&runner).map_or(0, BTreeSet::len)
    }

    fn join(&mut self, request: &Request) {
        let record = &request.record;
        let key = (record.tier, request.length);
        let window = self.share_window;
        let queue = self.queues.entry(key).or_insert_with(|| TierQueue::new(window));
        let rank = (request.latest_start, record.id);
        queue.fair.insert(&record.workspace, rank, request.work());
    }

    fn leave(&mut self, request: &Request, charge: bool) {
        let record = &request.record;
        if let Some(queue) = self.queues.get_mut(&(record.tier, request.length)) {
            let rank = (request.latest_start, record.id);
            queue.fair.remove(&record.workspace, rank, request.work(), charge);
        }
    }

    fn forget_hold(&mut self, request: &Request, hold: Hold) {
        let Some(held) = self.held.get_mut(&hold.runner) else { return };
        let key = (request.record.tier, request.latest_start, request.record.id);
        held.remove(&key);
        if held.is_empty() {
            self.held.remove(&hold.runner);
        }
    }

    /// The newest request of the lowest tier that has waiting requests.
    pub(super) fn last(&self) -> Option<(Tier, RequestId)> {
        self.arrivals.last().map(|&(tier, _, id)| (tier, id))
    }

    /// The queues by tier and length class.
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
