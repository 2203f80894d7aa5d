//! State and decisions of the cluster.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{Epoch, HostId, HostName, PoolId},
    time::MonoTime,
};

use super::{Announcement, ClusterAction, ClusterInput, Membership, pool_state::PoolState};

/// Time between two reviews of all pools.
pub const TICK: Duration = Duration::from_millis(100);

/// Time for which a host that has just started waits to hear of owners.
const SETTLE: Duration = Duration::from_millis(500);

/// One host's view of who is alive and who owns which pool.
pub struct Cluster {
    pub(super) members: Membership,
    pub(super) pools: BTreeMap<PoolId, PoolState>,
    pub(super) lease_until: MonoTime,
    pub(super) started: Option<MonoTime>,
    pub(super) holds_lease: bool,
    pub(super) settle: Duration,
    timer: Option<MonoTime>,
}

impl Cluster {
    /// A host that knows of no peer and no pool.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            members: Membership::new(me),
            pools: BTreeMap::new(),
            lease_until: MonoTime::ZERO,
            started: None,
            holds_lease: false,
            settle: SETTLE,
            timer: None,
        }
    }

    /// Counts these hosts as existing from the start.
    #[must_use]
    pub fn with_expected_peers(mut self, peers: BTreeSet<HostName>) -> Self {
        self.members.list(peers);
        self
    }

    /// Does not wait to hear of owners at the start: there are no other hosts.
    #[must_use]
    pub fn without_startup_delay(mut self) -> Self {
        self.settle = Duration::ZERO;
        self
    }

    /// Who is alive.
    #[must_use]
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Owner and epoch of a pool.
    #[must_use]
    pub fn owner(&self, pool: &PoolId) -> Option<(Option<&HostId>, Epoch)> {
        self.pools.get(pool).map(|state| (state.owner.as_ref(), state.epoch))
    }

    /// Pools that this host owns.
    pub fn owned(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.iter().filter(|(_, state)| state.owned).map(|(pool, _)| pool)
    }

    /// Decides on one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: ClusterInput, out: &mut Vec<ClusterAction>) {
        self.started.get_or_insert(now);
        match input {
            ClusterInput::PeerUp(host) => self.peer_up(host, out),
            ClusterInput::PeerDown(host) => self.members.down(&host),
            ClusterInput::PeerLeaving(host) => self.members.leaving(host),
            ClusterInput::HostsListed(names) => self.members.list(names),
            ClusterInput::PoolsConfigured(pools) => self.set_pools(pools, out),
            ClusterInput::Announced(announcement) => self.announced(announcement, out),
            ClusterInput::HandOver { pool, epoch } => self.hand_over(now, &pool, epoch),
            ClusterInput::ReadCompleted { pool, result } => self.read(now, &pool, result, out),
            ClusterInput::WriteCompleted { pool, result } => self.written(now, &pool, result, out),
            ClusterInput::PresenceReadCompleted { pool, result } => {
                self.presence(now, &pool, result, out)
            }
            ClusterInput::LeaseRenewed(until) => self.lease(until, out),
            ClusterInput::StandbyReady { pool, host } => self.standby_ready(&pool, &host),
            ClusterInput::Stop => self.stop(out),
            ClusterInput::Tick => {}
        }
        self.review_all(now, out);
        self.arm(now, out);
    }

    fn peer_up(&mut self, host: HostId, out: &mut Vec<ClusterAction>) {
        self.members.up(host.clone());
        for (pool, state) in &self.pools {
            if state.owned {
                let announcement = announcement(pool, state, self.members.me());
                out.push(ClusterAction::Announce { to: Some(host.clone()), announcement });
            } else if state.owner.as_ref() == Some(&host) {
                out.push(ClusterAction::OwnerChanged { pool: pool.clone(), view: state.view() });
            }
        }
    }

    fn set_pools(&mut self, pools: BTreeSet<PoolId>, out: &mut Vec<ClusterAction>) {
        let removed = self.pools.iter().filter(|(pool, _)| !pools.contains(pool));
        let owned = removed.filter(|(_, state)| state.owned);
        out.extend(owned.map(|(pool, _)| ClusterAction::EndTerm(pool.clone())));
        self.pools.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            self.pools.entry(pool).or_insert_with(PoolState::new);
        }
    }

    fn announced(&mut self, told: Announcement, out: &mut Vec<ClusterAction>) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(&told.pool) else { return };
        let known = (state.epoch, state.owner.as_ref());
        let same = known == (told.epoch, Some(&told.owner));
        if !same && known >= (told.epoch, Some(&told.owner)) {
            if state.owned {
                let announcement = announcement(&told.pool, state, &me);
                out.push(ClusterAction::Announce { to: Some(told.owner), announcement });
            }
            return;
        }
        if told.owner == me {
            return;
        }
        state.follow(&told.pool, told.epoch, Some(told.owner), out);
        state.standby = told.standby;
    }

    fn hand_over(&mut self, now: MonoTime, pool: &PoolId, epoch: Epoch) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if epoch >= state.epoch && !state.owned {
            state.resigned = true;
            state.retry_at = now;
        }
    }

    fn stop(&mut self, out: &mut Vec<ClusterAction>) {
        self.members.stop();
        out.push(ClusterAction::AnnounceLeaving);
        for (pool, state) in self.pools.iter().filter(|(_, state)| state.owned) {
            if let Some(to) = self.successor(pool, state) {
                let (pool, epoch) = (pool.clone(), state.epoch);
                out.push(ClusterAction::HandOver { to, pool, epoch });
            }
        }
    }

    fn arm(&mut self, now: MonoTime, out: &mut Vec<ClusterAction>) {
        if self.timer.is_none_or(|at| at <= now) {
            self.timer = Some(now + TICK);
            out.push(ClusterAction::SetTimer(now + TICK));
        }
    }
}

/// What the owner of a pool tells its peers.
pub(super) fn announcement(pool: &PoolId, state: &PoolState, me: &HostId) -> Announcement {
    Announcement {
        pool: pool.clone(),
        epoch: state.epoch,
        owner: me.clone(),
        standby: state.recorded_standby().cloned(),
    }
}

impl PoolState {
    /// Follows an owner other than this host.
    pub(super) fn follow(
        &mut self,
        pool: &PoolId,
        epoch: Epoch,
        owner: Option<HostId>,
        out: &mut Vec<ClusterAction>,
    ) {
        if self.owned {
            self.owned = false;
            self.used_standby = None;
            self.standby_ready = false;
            out.push(ClusterAction::EndTerm(pool.clone()));
        }
        let changed = self.epoch != epoch || self.owner != owner;
        self.epoch = epoch;
        self.owner = owner;
        self.resigned = false;
        if changed {
            out.push(ClusterAction::OwnerChanged { pool: pool.clone(), view: self.view() });
        }
    }
}
