//! State machine that distributes the configuration, on one host.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    config::{AcceptedChange, AcceptedConfig},
    ids::HostName,
    time::MonoTime,
};

use super::{SyncAction, SyncInput, SyncMessage, peers::Peers};

/// Interval of the round-robin announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after start that a host which can't read the key-value service waits
/// for its peers to connect, before it trusts their versions.
pub const START_GRACE: Duration = Duration::from_millis(2_000);

/// Time after which an unanswered request may be sent again, to any peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of peers with which a host announces a new version to all of
/// them at once. With more peers, new versions spread by the tree and the
/// round-robin announcements only.
const MAX_ANNOUNCED_PEERS: usize = 16;

/// Peers to announce the version to at each interval.
const ANNOUNCED_PER_INTERVAL: usize = 2;

/// State of the configuration's distribution on one host.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    accepted: Arc<AcceptedConfig>,
    peers: Peers,
    started_at: MonoTime,
    last_request: Option<(MonoTime, u64)>,
    store_read: bool,
    ready: bool,
    watching: bool,
}

impl ConfigSync {
    /// Creates the state of a host that starts at `now` without a
    /// configuration.
    #[must_use]
    pub fn new(me: HostName, now: MonoTime) -> Self {
        Self {
            accepted: Arc::default(),
            peers: Peers::new(me),
            started_at: now,
            last_request: None,
            store_read: false,
            ready: false,
            watching: false,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedConfig> {
        &self.accepted
    }

    /// Returns true if the configuration in force is new enough to serve
    /// requests with.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the connected peers and the highest version reported by each.
    #[must_use]
    pub fn peer_versions(&self) -> BTreeMap<HostName, Option<u64>> {
        self.peers.names().map(|name| (name.clone(), self.peers.version(name))).collect()
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, input: SyncInput, out: &mut Vec<SyncAction>) {
        match input {
            SyncInput::Stored(stored) => {
                self.store_read = true;
                self.adopt(stored, None, out);
            }
            SyncInput::PeerUp(peer) => {
                self.peers.up(peer.clone());
                out.push(self.announcement(peer));
            }
            SyncInput::PeerDown(peer) => self.peers.down(&peer),
            SyncInput::Message { from, message } => self.handle_message(now, from, message, out),
            SyncInput::Tick => {
                let next_peers = self.peers.next_round_robin(ANNOUNCED_PER_INTERVAL);
                out.extend(next_peers.into_iter().map(|peer| self.announcement(peer)));
            }
        }
        self.update_watch(out);
        self.update_ready(now, out);
    }

    fn handle_message(
        &mut self,
        now: MonoTime,
        from: HostName,
        message: SyncMessage,
        out: &mut Vec<SyncAction>,
    ) {
        match message {
            SyncMessage::Announce { version } => {
                self.peers.record_version(&from, version);
                if version > self.accepted.version() {
                    self.request_changes(now, from, version, out);
                } else if version < self.accepted.version() {
                    out.push(self.announcement(from));
                }
            }
            SyncMessage::Request { have } => {
                self.peers.record_version(&from, have);
                out.extend(self.update_for(from, have));
            }
            SyncMessage::Delta(changes) => self.handle_delta(now, from, &changes, out),
            SyncMessage::Snapshot(accepted) => {
                self.peers.record_version(&from, accepted.version());
                self.adopt(accepted, Some(&from), out);
            }
        }
    }

    fn handle_delta(
        &mut self,
        now: MonoTime,
        from: HostName,
        changes: &[AcceptedChange],
        out: &mut Vec<SyncAction>,
    ) {
        let Some(last) = changes.last().map(|change| change.version) else { return };
        self.peers.record_version(&from, last);
        if last <= self.accepted.version() {
            return;
        }
        let applied = changes.partition_point(|c| c.version <= self.accepted.version());
        match self.accepted.replay(&changes[applied..]) {
            Some(next) => self.adopt(Arc::new(next), Some(&from), out),
            None => self.request_changes(now, from, last, out),
        }
    }

    /// Puts a newer configuration in force and forwards it.
    fn adopt(
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
            let have = self.peers.version(peer).unwrap_or(previous);
            out.extend(self.update_for(peer.clone(), have));
        }
        if self.peers.len() <= MAX_ANNOUNCED_PEERS {
            let others = self.peers.names().filter(|peer| !receivers.contains(peer));
            out.extend(others.cloned().map(|peer| self.announcement(peer)));
        }
    }

    fn announcement(&self, to: HostName) -> SyncAction {
        let message = SyncMessage::Announce { version: self.accepted.version() };
        SyncAction::Send { to, message }
    }

    /// Returns the message that brings `to` up to date from version `have`, or
    /// none if it already is.
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

    /// Requests `version` or newer, unless such a request is pending.
    fn request_changes(
        &mut self,
        now: MonoTime,
        to: HostName,
        version: u64,
        out: &mut Vec<SyncAction>,
    ) {
        let pending = self.last_request.filter(|(at, _)| now.since(*at) < REQUEST_TIMEOUT);
        if pending.is_some_and(|(_, requested)| requested >= version) {
            return;
        }
        self.last_request = Some((now, version));
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
        let connected = now.since(self.started_at) >= START_GRACE && self.peers.len() > 0;
        let from_peers = connected && self.peers.all_versions_known();
        if (self.store_read || from_peers)
            && self.accepted.version() >= self.peers.highest_version()
        {
            self.ready = true;
            out.push(SyncAction::Ready);
        }
    }
}
