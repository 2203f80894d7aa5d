//! A naive version of the pool's order: a plain list, searched from scratch.
//!
//! Checks each action of the real pool against the rules. The ranks are taken
//! from the pool's own views.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use comfreyway_core::{
    ids::{HostId, RequestId, RunnerName, Tier, WorkspaceName},
    outcome::NotRunReason,
    pool::{LengthClass, Pool, PoolAction, Rank},
    request::RequestRecord,
    time::MonoTime,
};

/// Time after which an unused grant is reclaimed: its lifetime and a margin.
const GRANT_EXPIRY: Duration = Duration::from_millis(1_500);

/// Maximum number of unused grants of one request.
const MAX_RETURNED_GRANTS: u32 = 8;

/// State of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TrackedState {
    Waiting,
    Granted(RunnerName),
    Dispatched(RunnerName),
    Done,
}

/// A submitted request with its state and rank.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) record: RequestRecord,
    pub(crate) state: TrackedState,
    pub(crate) returned_grants: u32,
    pub(crate) granted: MonoTime,
    order: u64,
    rank: Option<Rank>,
}

/// Virtual times of the workspaces in one queue.
#[derive(Default)]
struct VirtualTimes {
    min: u64,
    by_workspace: BTreeMap<WorkspaceName, u64>,
}

pub(crate) struct NaivePool {
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    /// The runners; true unless the runner is leaving.
    pub(crate) runners: BTreeMap<RunnerName, bool>,
    virtual_times: BTreeMap<(Tier, LengthClass), VirtualTimes>,
    share_window: u64,
    /// True if requests may be deferred for the runner that caches their prefix,
    /// so that the order alone does not determine the next grant.
    pub(crate) any_order: bool,
    max_waiting: usize,
    next_order: u64,
    /// Requests shed in the current step. Those of them whose grant was returned
    /// in the same step never waited.
    shed_in_step: BTreeSet<RequestId>,
}

impl NaivePool {
    pub(crate) fn new(share_window: u64, max_waiting: usize) -> Self {
        Self {
            requests: BTreeMap::new(),
            runners: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            share_window,
            any_order: false,
            max_waiting,
            next_order: 0,
            shed_in_step: BTreeSet::new(),
        }
    }

    /// Returns the requests whose state matches.
    pub(crate) fn ids(&self, wanted: fn(&TrackedState) -> bool) -> Vec<RequestId> {
        let found = self.requests.iter().filter(|(_, request)| wanted(&request.state));
        found.map(|(&id, _)| id).collect()
    }

    pub(crate) fn submit(&mut self, record: &RequestRecord) {
        let request = TrackedRequest {
            record: record.clone(),
            state: TrackedState::Waiting,
            returned_grants: 0,
            granted: MonoTime::ZERO,
            order: self.next_order,
            rank: None,
        };
        self.next_order += 1;
        self.requests.insert(record.id, request);
    }

    /// Requeues a request whose grant was not used, with its old rank, unless the
    /// pool refuses it at once.
    pub(crate) fn requeue(
        &mut self,
        now: MonoTime,
        id: RequestId,
        budget_spent: bool,
        actions: &[PoolAction],
    ) {
        let shed = actions.iter().any(|action| is_shed(action, id));
        let request = self.requests.get_mut(&id).unwrap();
        request.state = TrackedState::Waiting;
        request.returned_grants += 1;
        let late = now >= request.rank.unwrap().unreachable_at;
        let request = self.requests[&id].clone();
        let full = self.is_full_for(&request);
        if !budget_spent
            && !late
            && !full
            && !shed
            && request.returned_grants <= MAX_RETURNED_GRANTS
        {
            self.enqueue(id);
        }
    }

    /// Returns true if the queue is full and holds no request of a lower tier.
    fn is_full_for(&self, request: &TrackedRequest) -> bool {
        let waiting = |k: &&TrackedRequest| {
            k.state == TrackedState::Waiting && k.record.id != request.record.id
        };
        let others: Vec<_> = self.requests.values().filter(waiting).collect();
        let lower = others.iter().any(|k| k.record.tier > request.record.tier);
        others.len() >= self.max_waiting && !lower
    }

    /// Requeues requests whose grants were not used in time.
    pub(crate) fn expire_grants(&mut self, now: MonoTime, actions: &[PoolAction]) {
        let ids = self.ids(|state| matches!(state, TrackedState::Granted(_)));
        for id in ids {
            if now.since(self.requests[&id].granted) >= GRANT_EXPIRY {
                self.requeue(now, id, false, actions);
            }
        }
    }

    /// Removes a runner. A later one of the same name is another runner.
    pub(crate) fn remove_runner(&mut self, name: &RunnerName) {
        self.runners.remove(name);
        let removed: RunnerName = "removed".parse().unwrap();
        for request in self.requests.values_mut() {
            match &mut request.state {
                TrackedState::Dispatched(at) | TrackedState::Granted(at) if at == name => {
                    *at = removed.clone()
                }
                TrackedState::Dispatched(_)
                | TrackedState::Granted(_)
                | TrackedState::Done
                | TrackedState::Waiting => {}
            }
        }
    }

    pub(crate) fn set(&mut self, id: RequestId, state: TrackedState) {
        self.requests.get_mut(&id).unwrap().state = state;
        self.update_min_virtual_times();
    }

    pub(crate) fn entry_down(&mut self, entry: &HostId) {
        let ids = self.ids(|state| *state == TrackedState::Waiting);
        for id in ids {
            if self.requests[&id].record.entry == *entry {
                self.set(id, TrackedState::Done);
            }
        }
    }

    /// Records the rank of a new request and enqueues it, unless it was refused.
    pub(crate) fn record_rank(&mut self, pool: &Pool, new: Option<RequestId>) {
        let Some(id) = new else { return };
        if let Some(explanation) = pool.explain(id) {
            self.requests.get_mut(&id).unwrap().rank = Some(explanation.rank);
            self.enqueue(id);
        }
    }

    /// Checks the actions of one step in their order.
    pub(crate) fn check(&mut self, now: MonoTime, actions: &[PoolAction], new: Option<RequestId>) {
        self.shed_in_step = actions.iter().filter_map(shed_id).collect();
        for action in actions {
            match action {
                PoolAction::Grant { entry, grant } => {
                    self.check_grant(now, grant.id, &grant.runner);
                    assert_eq!(*entry, self.requests[&grant.id].record.entry);
                }
                PoolAction::Refuse { id, reason, .. } => self.check_refusal(now, *id, *reason, new),
                PoolAction::SetTimer(at) => assert!(*at > now, "a timer in the past"),
            }
        }
    }

    fn check_grant(&mut self, now: MonoTime, id: RequestId, runner: &RunnerName) {
        let request = &self.requests[&id];
        assert_eq!(request.state, TrackedState::Waiting, "a grant for {id}, which does not wait");
        assert_eq!(
            self.runners.get(runner),
            Some(&true),
            "a grant to {runner}, which is leaving or unknown"
        );
        let rank = request.rank.expect("a granted request has a rank");
        if self.any_order {
            self.requests.get_mut(&id).unwrap().granted = now;
            self.set(id, TrackedState::Granted(runner.clone()));
            return;
        }
        assert_eq!(
            self.next_in_order(rank.tier, rank.length),
            Some(id),
            "order in tier {}",
            rank.tier
        );
        let higher = |k: &TrackedRequest| {
            let same_length = k.rank.is_some_and(|r| r.length == rank.length);
            k.state == TrackedState::Waiting && same_length && k.record.tier < rank.tier
        };
        assert!(!self.requests.values().any(higher), "a lower tier went first");
        let workspace = request.record.workspace.clone();
        let virtual_times = self.virtual_times.entry((rank.tier, rank.length)).or_default();
        *virtual_times.by_workspace.entry(workspace).or_default() += rank.work;
        self.requests.get_mut(&id).unwrap().granted = now;
        self.set(id, TrackedState::Granted(runner.clone()));
    }

    fn check_refusal(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: NotRunReason,
        new: Option<RequestId>,
    ) {
        let request = &self.requests[&id];
        assert_eq!(request.state, TrackedState::Waiting, "a refusal of {id}, which does not wait");
        let tier = request.record.tier;
        match reason {
            NotRunReason::QueueFull | NotRunReason::Shed => {
                let waiting =
                    |k: &&TrackedRequest| k.state == TrackedState::Waiting && k.record.id != id;
                let was_requeued = |k: &TrackedRequest| {
                    k.returned_grants > 0 && self.shed_in_step.contains(&k.record.id)
                };
                let others = self.requests.values().filter(waiting).filter(|k| !was_requeued(k));
                let lowest = others.map(|k| (k.record.tier, k.order)).max();
                let below = lowest.is_some_and(|(lowest, _)| lowest > tier);
                assert!(!below, "tier {tier} was shed before a lower one");
                if new != Some(id) && request.returned_grants == 0 {
                    let newest = lowest.is_none_or(|last| last < (tier, request.order));
                    assert!(newest, "{id} is not the newest of the lowest tier");
                }
            }
            NotRunReason::TargetUnreachable | NotRunReason::NoRunner => {
                let rank = request.rank;
                let too_early = rank.is_some_and(|r| tier == Tier(0) && now < r.unreachable_at);
                let too_early = too_early && request.returned_grants <= MAX_RETURNED_GRANTS;
                assert!(
                    !too_early,
                    "the top tier was refused while it could be served: {request:?} at {now:?}"
                );
            }
            NotRunReason::ConnectFailed => {}
            other => panic!("unexpected refusal {other}"),
        }
        self.set(id, TrackedState::Done);
    }

    /// Returns the request that is granted next, searched over the whole list.
    fn next_in_order(&self, tier: Tier, length: LengthClass) -> Option<RequestId> {
        let virtual_times = &self.virtual_times[&(tier, length)];
        let waiting = self.queue(tier, length);
        let within = waiting.filter(|k| {
            let virtual_time =
                virtual_times.by_workspace.get(&k.record.workspace).copied().unwrap_or(0);
            virtual_time <= virtual_times.min + self.share_window
        });
        let mut ranked: Vec<_> = within
            .map(|k| (k.rank.unwrap().latest_start, k.record.workspace.clone(), k.record.id))
            .collect();
        ranked.sort();
        ranked.first().map(|&(_, _, id)| id)
    }

    fn queue(&self, tier: Tier, length: LengthClass) -> impl Iterator<Item = &TrackedRequest> {
        let in_queue = move |k: &&TrackedRequest| {
            k.state == TrackedState::Waiting
                && k.rank.is_some_and(|r| (r.tier, r.length) == (tier, length))
        };
        self.requests.values().filter(in_queue)
    }

    fn enqueue(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let rank = request.rank.unwrap();
        let workspace = request.record.workspace.clone();
        let key = (rank.tier, rank.length);
        let queue: Vec<_> = self.queue(key.0, key.1).collect();
        let alone = !queue.iter().any(|k| k.record.workspace == workspace && k.record.id != id);
        let virtual_times = self.virtual_times.entry(key).or_default();
        let virtual_time = virtual_times.by_workspace.entry(workspace).or_default();
        if alone {
            *virtual_time = (*virtual_time).max(virtual_times.min);
        }
        self.update_min_virtual_times();
    }

    fn update_min_virtual_times(&mut self) {
        let keys: Vec<_> = self.virtual_times.keys().copied().collect();
        for key in keys {
            let queue = self.queue(key.0, key.1);
            let workspaces: BTreeSet<_> = queue.map(|k| k.record.workspace.clone()).collect();
            let virtual_times = self.virtual_times.get_mut(&key).unwrap();
            let lowest =
                workspaces.iter().filter_map(|ws| virtual_times.by_workspace.get(ws)).min();
            if let Some(&lowest) = lowest {
                virtual_times.min = virtual_times.min.max(lowest);
            }
        }
    }
}

fn is_shed(action: &PoolAction, shed: RequestId) -> bool {
    shed_id(action) == Some(shed)
}

fn shed_id(action: &PoolAction) -> Option<RequestId> {
    match action {
        PoolAction::Refuse { id, reason: NotRunReason::Shed, .. } => Some(*id),
        PoolAction::Grant { .. } | PoolAction::Refuse { .. } | PoolAction::SetTimer(_) => None,
    }
}
