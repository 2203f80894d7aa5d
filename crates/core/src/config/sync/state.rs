//! One host's part in the spread of the configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    config::{AcceptedChange, AcceptedConfig},
    ids::HostName,
    time::MonoTime,
};

use super::{SyncAction, SyncInput, SyncMessage, peers::Peers};

/// Time between two announcements in turn.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time that a starting host leaves its peers to connect, when it can't read
/// the key-value service.
pub const START_GRACE: Duration = Duration::from_millis(2_000);

/// Time after which an unanswered request may go to another peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Most peers that hear of each new version at once. With more peers, the tree
/// and the announcements in turn do.
const MAX_ANNOUNCED_AT_ONCE: usize = 16;

/// Peers that hear the version at each interval.
const ANNOUNCED_IN_TURN: usize = 2;

/// One host's part in the spread of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    accepted: Arc<AcceptedConfig>,
    peers: Peers,
    started: MonoTime,
    requested: Option<(MonoTime, u64)>,
    stored: bool,
    ready: bool,
    watching: bool,
}

impl ConfigSync {
    /// A host that starts at `now` without a configuration.
    #[must_use]
    pub fn new(me: HostName, now: MonoTime) -> Self {
        Self {
            accepted: Arc::default(),
            peers: Peers::new(me),
            started: now,
            requested: None,
            stored: false,
            ready: false,
            watching: false,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedConfig> {
        &self.accepted
    }

    /// True if the configuration in force is new enough to serve with.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The peers with a session, and the last version that each announced.
    #[must_use]
    pub fn peer_versions(&self) -> BTreeMap<HostName, Option<u64>> {
        self.peers.names().map(|name| (name.clone(), self.peers.version(name))).collect()
    }

    /// Decides on one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: SyncInput, out: &mut Vec<SyncAction>) {
        match input {
            SyncInput::Stored(stored) => {
                self.stored = true;
                self.take(stored, None, out);
            }
            SyncInput::PeerUp(peer) => {
                self.peers.up(peer.clone());
                out.push(self.announce(peer));
            }
            SyncInput::PeerDown(peer) => self.peers.down(&peer),
            SyncInput::Message { from, message } => self.message(now, from, message, out),
            SyncInput::Tick => {
                let turn = self.peers.in_turn(ANNOUNCED_IN_TURN);
                out.extend(turn.into_iter().map(|peer| self.announce(peer)));
            }
        }
        self.update_watch(out);
        self.update_ready(now, out);
    }

    fn message(
        &mut self,
        now: MonoTime,
        from: HostName,
        message: SyncMessage,
        out: &mut Vec<SyncAction>,
    ) {
        match message {
            SyncMessage::Announce { version } => {
                self.peers.note(&from, version);
                if version > self.accepted.version() {
                    self.request(now, from, version, out);
                } else if version < self.accepted.version() {
                    out.push(self.announce(from));
                }
            }
            SyncMessage::Request { have } => {
                self.peers.note(&from, have);
                out.extend(self.update_for(from, have));
            }
            SyncMessage::Delta(changes) => self.delta(now, from, &changes, out),
            SyncMessage::Snapshot(accepted) => {
                self.peers.note(&from, accepted.version());
                self.take(accepted, Some(&from), out);
            }
        }
    }

    fn delta(
        &mut self,
        now: MonoTime,
        from: HostName,
        changes: &[AcceptedChange],
        out: &mut Vec<SyncAction>,
    ) {
        let Some(last) = changes.last().map(|change| change.version) else { return };
        self.peers.note(&from, last);
        if last <= self.accepted.version() {
            return;
        }
        let known = changes.partition_point(|c| c.version <= self.accepted.version());
        match self.accepted.replay(&changes[known..]) {
            Some(next) => self.take(Arc::new(next), Some(&from), out),
            None => self.request(now, from, last, out),
        }
    }

    /// Puts a newer configuration in force and passes it on.
    fn take(
        &mut self,
        accepted: Arc<AcceptedConfig>,
        from: Option<&HostName>,
        out: &mut Vec<SyncAction>,
    ) {
        let previous = self.accepted.version();
        if accepted.version() <= previous {
            return;
        }
        self.accepted = accepted;
        out.push(SyncAction::Apply(self.accepted.clone()));
        let receivers = self.peers.receivers();
        for peer in receivers.iter().filter(|peer| Some(*peer) != from) {
            let known = self.peers.version(peer).unwrap_or(previous);
            out.extend(self.update_for(peer.clone(), known));
        }
        if self.peers.len() <= MAX_ANNOUNCED_AT_ONCE {
            let others = self.peers.names().filter(|peer| !receivers.contains(peer));
            out.extend(others.cloned().map(|peer| self.announce(peer)));
        }
    }

    fn announce(&self, to: HostName) -> SyncAction {
        let message = SyncMessage::Announce { version: self.accepted.version() };
        SyncAction::Send { to, message }
    }

    /// What `to` lacks after version `have`, if anything.
    fn update_for(&self, to: HostName, have: u64) -> Option<SyncAction> {
        if have >= self.accepted.version() {
            return None;
        }
        let message = match self.accepted.changes_since(have) {
            Some(changes) => SyncMessage::Delta(changes),
            None => SyncMessage::Snapshot(self.accepted.clone()),
        };
        Some(SyncAction::Send { to, message })
    }

    /// Asks for `version` unless a request for it is on its way.
    fn request(&mut self, now: MonoTime, to: HostName, version: u64, out: &mut Vec<SyncAction>) {
        let pending = self.requested.filter(|(at, _)| now.since(*at) < REQUEST_TIMEOUT);
        if pending.is_some_and(|(_, requested)| requested >= version) {
            return;
        }
        self.requested = Some((now, version));
        let message = SyncMessage::Request { have: self.accepted.version() };
        out.push(SyncAction::Send { to, message });
    }

    fn update_watch(&mut self, out: &mut Vec<SyncAction>) {
        let watching = self.peers.is_watcher();
        if watching != self.watching {
            self.watching = watching;
            out.push(SyncAction::Watch(watching));
        }
    }

    fn update_ready(&mut self, now: MonoTime, out: &mut Vec<SyncAction>) {
        if self.ready {
            return;
        }
        let connected = now.since(self.started) >= START_GRACE && self.peers.len() > 0;
        let from_peers = connected && self.peers.all_known();
        if (self.stored || from_peers) && self.accepted.version() >= self.peers.highest() {
            self.ready = true;
            out.push(SyncAction::Ready);
        }
    }
}
