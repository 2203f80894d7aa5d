//! A naive version of the pool's order: a plain list, searched from scratch.
//!
//! It checks each action of the real pool against the rules. The ranks and the
//! learned limits are taken from the pool's own views.

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

/// Time after which an unused grant comes back: its lifetime and a margin.
const UNUSED_GRANT_TIME: Duration = Duration::from_millis(1_500);

/// Most grants of one request that may come back.
const MAX_RETURNED: u32 = 8;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    Waiting,
    Granted(RunnerName),
    Dispatched(RunnerName),
    Done,
}

/// A submitted request.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) record: RequestRecord,
    pub(crate) state: State,
    pub(crate) returned: u32,
    pub(crate) granted: MonoTime,
    order: u64,
    rank: Option<Rank>,
}

/// Virtual times of one queue.
#[derive(Default)]
struct Shares {
    floor: u64,
    used: BTreeMap<WorkspaceName, u64>,
}

pub(crate) struct NaivePool {
    pub(crate) requests: BTreeMap<RequestId, Known>,
    pub(crate) runners: BTreeMap<RunnerName, bool>,
    shares: BTreeMap<(Tier, LengthClass), Shares>,
    window: u64,
    /// True if requests may wait for the runner that has their prefix, so that
    /// the order alone does not determine the next grant.
    pub(crate) any_order: bool,
    max_waiting: usize,
    next_order: u64,
    /// Requests that the present step sheds; those that came back in it never
    /// waited.
    shed_now: BTreeSet<RequestId>,
}

impl NaivePool {
    pub(crate) fn new(window: u64, max_waiting: usize) -> Self {
        Self {
            requests: BTreeMap::new(),
            runners: BTreeMap::new(),
            shares: BTreeMap::new(),
            window,
            any_order: false,
            max_waiting,
            next_order: 0,
            shed_now: BTreeSet::new(),
        }
    }

    /// Requests in a state.
    pub(crate) fn ids(&self, wanted: fn(&State) -> bool) -> Vec<RequestId> {
        let found = self.requests.iter().filter(|(_, known)| wanted(&known.state));
        found.map(|(&id, _)| id).collect()
    }

    pub(crate) fn submit(&mut self, record: &RequestRecord) {
        let known = Known {
            record: record.clone(),
            state: State::Waiting,
            returned: 0,
            granted: MonoTime::ZERO,
            order: self.next_order,
            rank: None,
        };
        self.next_order += 1;
        self.requests.insert(record.id, known);
    }

    /// A grant came back; the request waits again with its old rank, unless it
    /// is refused at once.
    pub(crate) fn wait_again(
        &mut self,
        now: MonoTime,
        id: RequestId,
        budget_spent: bool,
        actions: &[PoolAction],
    ) {
        let shed = actions.iter().any(|action| is_shed(action, id));
        let known = self.requests.get_mut(&id).unwrap();
        known.state = State::Waiting;
        known.returned += 1;
        let late = now >= known.rank.unwrap().unreachable_at;
        let known = self.requests[&id].clone();
        let full = self.is_full_for(&known);
        if !budget_spent && !late && !full && !shed && known.returned <= MAX_RETURNED {
            self.join(id);
        }
    }

    /// True if the queue is full and holds no request of a lower tier.
    fn is_full_for(&self, known: &Known) -> bool {
        let waiting = |k: &&Known| k.state == State::Waiting && k.record.id != known.record.id;
        let others: Vec<_> = self.requests.values().filter(waiting).collect();
        let lower = others.iter().any(|k| k.record.tier > known.record.tier);
        others.len() >= self.max_waiting && !lower
    }

    /// Grants that their entries have not used in time come back.
    pub(crate) fn expire_grants(&mut self, now: MonoTime, actions: &[PoolAction]) {
        let ids = self.ids(|state| matches!(state, State::Granted(_)));
        for id in ids {
            if now.since(self.requests[&id].granted) >= UNUSED_GRANT_TIME {
                self.wait_again(now, id, false, actions);
            }
        }
    }

    /// A runner is gone; a later one of the same name is another runner.
    pub(crate) fn runner_gone(&mut self, name: &RunnerName) {
        self.runners.remove(name);
        let gone: RunnerName = "gone".parse().unwrap();
        for known in self.requests.values_mut() {
            match &mut known.state {
                State::Dispatched(at) | State::Granted(at) if at == name => *at = gone.clone(),
                State::Dispatched(_) | State::Granted(_) | State::Done | State::Waiting => {}
            }
        }
    }

    pub(crate) fn set(&mut self, id: RequestId, state: State) {
        self.requests.get_mut(&id).unwrap().state = state;
        self.raise_floors();
    }

    pub(crate) fn entry_gone(&mut self, entry: &HostId) {
        let ids = self.ids(|state| *state == State::Waiting);
        for id in ids {
            if self.requests[&id].record.entry == *entry {
                self.set(id, State::Done);
            }
        }
    }

    /// Reads the ranks of new requests and lets them join their queues.
    pub(crate) fn read_ranks(&mut self, pool: &Pool, new: Option<RequestId>) {
        let Some(id) = new else { return };
        if let Some(explanation) = pool.explain(id) {
            self.requests.get_mut(&id).unwrap().rank = Some(explanation.rank);
            self.join(id);
        }
    }

    /// Checks the actions of one step in their order.
    pub(crate) fn check(&mut self, now: MonoTime, actions: &[PoolAction], new: Option<RequestId>) {
        self.shed_now = actions.iter().filter_map(shed_id).collect();
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
        let known = &self.requests[&id];
        assert_eq!(known.state, State::Waiting, "a grant for {id} that does not wait");
        assert_eq!(self.runners.get(runner), Some(&true), "a grant to {runner} that leaves");
        let rank = known.rank.expect("a granted request has a rank");
        if self.any_order {
            self.requests.get_mut(&id).unwrap().granted = now;
            self.set(id, State::Granted(runner.clone()));
            return;
        }
        assert_eq!(self.first(rank.tier, rank.length), Some(id), "order in tier {}", rank.tier);
        let higher = |k: &Known| {
            let same_length = k.rank.is_some_and(|r| r.length == rank.length);
            k.state == State::Waiting && same_length && k.record.tier < rank.tier
        };
        assert!(!self.requests.values().any(higher), "a lower tier went first");
        let workspace = known.record.workspace.clone();
        let shares = self.shares.entry((rank.tier, rank.length)).or_default();
        *shares.used.entry(workspace).or_default() += rank.work;
        self.requests.get_mut(&id).unwrap().granted = now;
        self.set(id, State::Granted(runner.clone()));
    }

    fn check_refusal(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: NotRunReason,
        new: Option<RequestId>,
    ) {
        let known = &self.requests[&id];
        assert_eq!(known.state, State::Waiting, "a refusal of {id} that does not wait");
        let tier = known.record.tier;
        match reason {
            NotRunReason::QueueFull | NotRunReason::Shed => {
                let waiting = |k: &&Known| k.state == State::Waiting && k.record.id != id;
                let returned = |k: &Known| k.returned > 0 && self.shed_now.contains(&k.record.id);
                let others = self.requests.values().filter(waiting).filter(|k| !returned(k));
                let lowest = others.map(|k| (k.record.tier, k.order)).max();
                let below = lowest.is_some_and(|(lowest, _)| lowest > tier);
                assert!(!below, "tier {tier} was shed before a lower one");
                if new != Some(id) && known.returned == 0 {
                    let newest = lowest.is_none_or(|last| last < (tier, known.order));
                    assert!(newest, "{id} is not the newest of the lowest tier");
                }
            }
            NotRunReason::TargetUnreachable | NotRunReason::NoRunner => {
                let rank = known.rank;
                let early = rank.is_some_and(|r| tier == Tier(0) && now < r.unreachable_at);
                let early = early && known.returned <= MAX_RETURNED;
                assert!(
                    !early,
                    "the top tier was refused while it could be served: {known:?} at {now:?}"
                );
            }
            NotRunReason::ConnectFailed => {}
            other => panic!("unexpected refusal {other}"),
        }
        self.set(id, State::Done);
    }

    /// The request that goes next, searched over the whole list.
    fn first(&self, tier: Tier, length: LengthClass) -> Option<RequestId> {
        let shares = &self.shares[&(tier, length)];
        let waiting = self.queue(tier, length);
        let within = waiting.filter(|k| {
            let used = shares.used.get(&k.record.workspace).copied().unwrap_or(0);
            used <= shares.floor + self.window
        });
        let mut ranked: Vec<_> = within
            .map(|k| (k.rank.unwrap().latest_start, k.record.workspace.clone(), k.record.id))
            .collect();
        ranked.sort();
        ranked.first().map(|&(_, _, id)| id)
    }

    fn queue(&self, tier: Tier, length: LengthClass) -> impl Iterator<Item = &Known> {
        let in_queue = move |k: &&Known| {
            k.state == State::Waiting
                && k.rank.is_some_and(|r| (r.tier, r.length) == (tier, length))
        };
        self.requests.values().filter(in_queue)
    }

    fn join(&mut self, id: RequestId) {
        let known = &self.requests[&id];
        let rank = known.rank.unwrap();
        let workspace = known.record.workspace.clone();
        let key = (rank.tier, rank.length);
        let queue: Vec<_> = self.queue(key.0, key.1).collect();
        let alone = !queue.iter().any(|k| k.record.workspace == workspace && k.record.id != id);
        let shares = self.shares.entry(key).or_default();
        let used = shares.used.entry(workspace).or_default();
        if alone {
            *used = (*used).max(shares.floor);
        }
        self.raise_floors();
    }

    fn raise_floors(&mut self) {
        let keys: Vec<_> = self.shares.keys().copied().collect();
        for key in keys {
            let queue = self.queue(key.0, key.1);
            let spaces: BTreeSet<_> = queue.map(|k| k.record.workspace.clone()).collect();
            let shares = self.shares.get_mut(&key).unwrap();
            let lowest = spaces.iter().filter_map(|ws| shares.used.get(ws)).min();
            if let Some(&lowest) = lowest {
                shares.floor = shares.floor.max(lowest);
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
