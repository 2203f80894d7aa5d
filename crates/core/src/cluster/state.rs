//! State machine of the cluster.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{Epoch, HostId, HostName, PoolId},
    time::MonoTime,
};

use super::{Announcement, ClusterAction, ClusterInput, Membership, pool_state::PoolState};

/// Interval between reviews of all pools.
pub const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start for which a host waits for announcements before it takes
/// over a pool without a known owner.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// One host's view of cluster membership and pool ownership.
pub struct Cluster {
    pub(super) members: Membership,
    pub(super) pools: BTreeMap<PoolId, PoolState>,
    pub(super) lease_until: MonoTime,
    pub(super) started_at: Option<MonoTime>,
    pub(super) holds_lease: bool,
    pub(super) startup_delay: Duration,
    timer: Option<MonoTime>,
}

impl Cluster {
    /// Creates the view of a host without known peers or pools.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            members: Membership::new(me),
            pools: BTreeMap::new(),
            lease_until: MonoTime::ZERO,
            started_at: None,
            holds_lease: false,
            startup_delay: STARTUP_DELAY,
            timer: None,
        }
    }

    /// Sets the hosts that count as existing until a host list is read.
    #[must_use]
    pub fn with_expected_peers(mut self, peers: BTreeSet<HostName>) -> Self {
        self.members.set_hosts(peers);
        self
    }

    /// Skips the startup delay. For a host without peers.
    #[must_use]
    pub fn without_startup_delay(mut self) -> Self {
        self.startup_delay = Duration::ZERO;
        self
    }

    /// The membership of the cluster.
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

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: ClusterInput, out: &mut Vec<ClusterAction>) {
        self.started_at.get_or_insert(now);
        match input {
            ClusterInput::PeerUp(host) => self.peer_up(host, out),
            ClusterInput::PeerDown(host) => self.members.peer_down(&host),
            ClusterInput::PeerLeaving(host) => self.members.peer_leaving(host),
            ClusterInput::HostsListed(names) => self.members.set_hosts(names),
            ClusterInput::PoolsConfigured(pools) => self.set_pools(pools, out),
            ClusterInput::Announced(announcement) => self.announced(announcement, out),
            ClusterInput::HandOver { pool, epoch } => self.hand_over(now, &pool, epoch),
            ClusterInput::ReadCompleted { pool, result } => {
                self.read_completed(now, &pool, result, out)
            }
            ClusterInput::WriteCompleted { pool, result } => {
                self.write_completed(now, &pool, result, out)
            }
            ClusterInput::PresenceReadCompleted { pool, result } => {
                self.presence_read_completed(now, &pool, result, out)
            }
            ClusterInput::LeaseRenewed(until) => self.lease_renewed(until, out),
            ClusterInput::StandbyReady { pool, host } => self.standby_ready(&pool, &host),
            ClusterInput::Stop => self.stop(out),
            ClusterInput::Tick => {}
        }
        self.review_all(now, out);
        self.arm_timer(now, out);
    }

    fn peer_up(&mut self, host: HostId, out: &mut Vec<ClusterAction>) {
        self.members.peer_up(host.clone());
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

    fn announced(&mut self, received: Announcement, out: &mut Vec<ClusterAction>) {
        let me = self.members.me().clone();
        let Some(state) = self.pools.get_mut(&received.pool) else { return };
        let known = (state.epoch, state.owner.as_ref());
        let same = known == (received.epoch, Some(&received.owner));
        if !same && known >= (received.epoch, Some(&received.owner)) {
            if state.owned {
                let announcement = announcement(&received.pool, state, &me);
                out.push(ClusterAction::Announce { to: Some(received.owner), announcement });
            }
            return;
        }
        if received.owner == me {
            return;
        }
        state.follow(&received.pool, received.epoch, Some(received.owner), out);
        state.standby = received.standby;
    }

    fn hand_over(&mut self, now: MonoTime, pool: &PoolId, epoch: Epoch) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        if epoch >= state.epoch && !state.owned {
            state.handed_over = true;
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

    fn arm_timer(&mut self, now: MonoTime, out: &mut Vec<ClusterAction>) {
        if self.timer.is_none_or(|at| at <= now) {
            self.timer = Some(now + REVIEW_INTERVAL);
            out.push(ClusterAction::SetTimer(now + REVIEW_INTERVAL));
        }
    }
}

/// Announcement of a pool that this host owns.
pub(super) fn announcement(pool: &PoolId, state: &PoolState, me: &HostId) -> Announcement {
    Announcement {
        pool: pool.clone(),
        epoch: state.epoch,
        owner: me.clone(),
        standby: state.recorded_standby().cloned(),
    }
}

impl PoolState {
    /// Records another owner and ends this host's own term, if it has one.
    pub(super) fn follow(
        &mut self,
        pool: &PoolId,
        epoch: Epoch,
        owner: Option<HostId>,
        out: &mut Vec<ClusterAction>,
    ) {
        if self.owned {
            self.owned = false;
            self.selected_standby = None;
            self.standby_ready = false;
            out.push(ClusterAction::EndTerm(pool.clone()));
        }
        let changed = self.epoch != epoch || self.owner != owner;
        self.epoch = epoch;
        self.owner = owner;
        self.handed_over = false;
        if changed {
            out.push(ClusterAction::OwnerChanged { pool: pool.clone(), view: self.view() });
        }
    }
}
