//! The entry and the pools of one host, without I/O.
//!
//! An action of one of them may be an input of another: the entry submits
//! requests to a pool's owner, and the owner sends grants to the entry.
//! [`Decisions`] processes such inputs until none is left and returns the
//! actions that need I/O as [`Effect`]s.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use comfreyway_core::{
    cluster::ClaimSource,
    entry::{Entry, EntryAction, EntryInput},
    ids::{Epoch, HostId, PoolId, RunnerName},
    owner::{Owner, OwnerAction, OwnerInput, PoolRole},
    pool::{Pool, PoolInput, PoolSettings},
    time::MonoTime,
};
use comfreyway_proto::peer::{FromStandby, PeerMessage, ToEntry, ToOwner, ToStandby};

use super::Effect;

/// A queued input.
enum QueuedInput {
    Entry(EntryInput),
    Owner(PoolId, OwnerInput),
}

/// The entry and the pools of one host.
pub(crate) struct Decisions {
    host: HostId,
    entry: Entry,
    roles: BTreeMap<PoolId, PoolRole>,
    queued: VecDeque<QueuedInput>,
    entry_actions: Vec<EntryAction>,
    owner_actions: Vec<OwnerAction>,
}

impl Decisions {
    /// Creates the state of a host that owns no pool.
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            entry: Entry::new(host.clone()),
            host,
            roles: BTreeMap::new(),
            queued: VecDeque::new(),
            entry_actions: Vec::new(),
            owner_actions: Vec::new(),
        }
    }

    /// Returns the entry of this host.
    pub(crate) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the pools that this host owns.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.roles.values().filter_map(PoolRole::owner).map(Owner::pool)
    }

    /// Returns true if this host owns the pool and counts the runner as leaving.
    pub(crate) fn is_leaving(&self, pool: &PoolId, runner: &RunnerName) -> bool {
        let owner = self.roles.get(pool).and_then(PoolRole::owner);
        owner.is_some_and(|owner| owner.pool().is_leaving(runner))
    }

    /// Begins to own a pool under `epoch`. Replaces an earlier term.
    pub(crate) fn begin_term(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        epoch: Epoch,
        claim_source: &ClaimSource,
    ) {
        let settings = PoolSettings::new(pool.clone(), epoch);
        self.roles.entry(pool.clone()).or_default().begin_term(now, settings, claim_source);
    }

    /// Stops owning a pool. `epoch` is the latest known epoch of the pool.
    pub(crate) fn end_term(&mut self, pool: &PoolId, epoch: Epoch) {
        if let Some(role) = self.roles.get_mut(pool) {
            role.end_term(epoch);
        }
    }

    /// Returns the hosts whose requests have claims in a pool.
    pub(crate) fn claim_holders(&self, pool: &PoolId) -> BTreeSet<HostId> {
        let claims = self.roles.get(pool).into_iter().flat_map(|role| role.claims().iter());
        claims.map(|claim| claim.entry.clone()).collect()
    }

    /// Removes a pool that is no longer configured.
    pub(crate) fn remove_pool(&mut self, pool: &PoolId) {
        self.roles.remove(pool);
    }

    /// Handles an input of the entry.
    pub(crate) fn entry_input(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<Effect>) {
        self.queued.push_back(QueuedInput::Entry(input));
        self.run(now, out);
    }

    /// Handles an input of an owned pool. Ignored if the pool is not owned.
    pub(crate) fn pool_input(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        input: PoolInput,
        out: &mut Vec<Effect>,
    ) {
        self.owner_input(now, pool, OwnerInput::Pool(input), out);
    }

    /// Handles an input of the owner of a pool. Ignored if the pool is not owned.
    pub(crate) fn owner_input(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        input: OwnerInput,
        out: &mut Vec<Effect>,
    ) {
        self.queued.push_back(QueuedInput::Owner(pool.clone(), input));
        self.run(now, out);
    }

    /// Handles a new session with a peer. Messages sent over an earlier one may be
    /// lost.
    pub(crate) fn peer_up(&mut self, now: MonoTime, host: &HostId, out: &mut Vec<Effect>) {
        let pools = self.roles.keys().cloned();
        let entry_up = |pool| QueuedInput::Owner(pool, OwnerInput::EntryUp(host.clone()));
        self.queued.extend(pools.map(entry_up));
        self.run(now, out);
    }

    /// Handles a peer that is down: the pools drop its waiting requests, and the
    /// entry clears it as the owner of its pools.
    pub(crate) fn peer_down(&mut self, now: MonoTime, host: &HostId, out: &mut Vec<Effect>) {
        let pools = self.roles.keys().cloned();
        let entry_down = |pool| QueuedInput::Owner(pool, OwnerInput::EntryDown(host.clone()));
        self.queued.extend(pools.map(entry_down));
        self.queued.push_back(QueuedInput::Entry(EntryInput::HostDown(host.clone())));
        self.run(now, out);
    }

    /// Handles a peer's message about a pool. Other kinds are ignored.
    pub(crate) fn peer_message(
        &mut self,
        now: MonoTime,
        from: HostId,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::ToOwner(ToOwner { pool, sent_at, event, .. }) => {
                let input = OwnerInput::EntryEvent { entry: from, sent_at, event };
                self.owner_input(now, &pool, input, out);
            }
            PeerMessage::ToEntry(ToEntry { pool, epoch, event }) => {
                self.entry_input(
                    now,
                    EntryInput::OwnerEvent { owner: from, pool, epoch, event },
                    out,
                );
            }
            PeerMessage::ToStandby(event) => self.handle_standby_event(now, from, event, out),
            PeerMessage::FromStandby(FromStandby { pool, epoch, reply }) => {
                let owner = self.roles.get(&pool).and_then(PoolRole::owner);
                if owner.is_some_and(|owner| owner.epoch() == epoch) {
                    self.owner_input(
                        now,
                        &pool,
                        OwnerInput::StandbyReply { host: from, reply },
                        out,
                    );
                }
            }
            _ => {}
        }
    }

    fn handle_standby_event(
        &mut self,
        now: MonoTime,
        from: HostId,
        event: ToStandby,
        out: &mut Vec<Effect>,
    ) {
        let ToStandby { pool, epoch, event } = event;
        let role = self.roles.entry(pool.clone()).or_default();
        if let Some(reply) = role.handle_standby_event(now, &from, epoch, event) {
            let message = PeerMessage::FromStandby(FromStandby { pool, epoch, reply });
            out.push(Effect::Send { to: from, message });
        }
    }

    /// Runs the due timers of the entry and of every pool.
    pub(crate) fn tick(&mut self, now: MonoTime, out: &mut Vec<Effect>) {
        self.queued.push_back(QueuedInput::Entry(EntryInput::Tick));
        let pools = self.roles.keys().cloned();
        self.queued.extend(pools.map(|pool| QueuedInput::Owner(pool, OwnerInput::Tick)));
        self.run(now, out);
    }

    fn run(&mut self, now: MonoTime, out: &mut Vec<Effect>) {
        while let Some(input) = self.queued.pop_front() {
            match input {
                QueuedInput::Entry(input) => self.handle_entry_input(now, input, out),
                QueuedInput::Owner(pool, input) => self.handle_owner_input(now, pool, input, out),
            }
        }
    }

    fn handle_entry_input(&mut self, now: MonoTime, input: EntryInput, out: &mut Vec<Effect>) {
        let mut actions = std::mem::take(&mut self.entry_actions);
        self.entry.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            match action {
                EntryAction::SendToOwner { owner, pool, sent_at, event, .. }
                    if owner == self.host =>
                {
                    let input = OwnerInput::EntryEvent { entry: owner, sent_at, event };
                    self.queued.push_back(QueuedInput::Owner(pool, input));
                }
                EntryAction::SendToOwner { owner, pool, epoch, sent_at, event } => {
                    let message = PeerMessage::ToOwner(ToOwner { pool, epoch, sent_at, event });
                    out.push(Effect::Send { to: owner, message });
                }
                EntryAction::Dispatch { id, pool, runner, epoch } => {
                    out.push(Effect::Dispatch { id, pool, runner, epoch });
                }
                EntryAction::RespondNotRun { id, reason, retry_after } => {
                    out.push(Effect::RespondNotRun { id, reason, retry_after });
                }
                EntryAction::RespondUnknown { id, reason } => {
                    out.push(Effect::RespondUnknown { id, reason });
                }
                EntryAction::Attach { id, first, holder } => {
                    out.push(Effect::Attach { id, first, holder });
                }
                EntryAction::SetTimer(at) => out.push(Effect::SetTimer(at)),
            }
        }
        self.entry_actions = actions;
    }

    fn handle_owner_input(
        &mut self,
        now: MonoTime,
        id: PoolId,
        input: OwnerInput,
        out: &mut Vec<Effect>,
    ) {
        let Some(role) = self.roles.get_mut(&id) else { return };
        let mut actions = std::mem::take(&mut self.owner_actions);
        role.handle(now, input, &mut actions);
        let epoch = role.owner().map(Owner::epoch).unwrap_or_default();
        for action in actions.drain(..) {
            let pool = id.clone();
            match action {
                OwnerAction::SendToEntry { entry, event } if entry == self.host => {
                    let input = EntryInput::OwnerEvent { owner: entry, pool, epoch, event };
                    self.queued.push_back(QueuedInput::Entry(input));
                }
                OwnerAction::SendToEntry { entry, event } => {
                    let message = PeerMessage::ToEntry(ToEntry { pool, epoch, event });
                    out.push(Effect::Send { to: entry, message });
                }
                OwnerAction::Replicate { standby, event } => {
                    let message = PeerMessage::ToStandby(ToStandby { pool, epoch, event });
                    out.push(Effect::Send { to: standby, message });
                }
                OwnerAction::StandbyReady(host) => {
                    out.push(Effect::StandbyReady { pool, host });
                }
                OwnerAction::SetTimer(at) => out.push(Effect::SetTimer(at)),
            }
        }
        self.owner_actions = actions;
    }
}
