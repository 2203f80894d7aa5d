//! Decides whether this host watches the store itself or receives its changes
//! from the coordinator.
//!
//! A host relies on its coordinator only while the coordinator's view of the
//! store is verified as current. It starts its own feed when that view becomes
//! stale, and stops the feed once the coordinator's view is fresh and at least
//! as new as its own. When many hosts start, or all lose their coordinator, they
//! connect to the next one before their view becomes stale, so that the store gets
//! few calls.

use std::time::Duration;

use comfreyway_core::{
    fleet::{PlacementReply, RunnerEntry},
    ids::HostId,
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Revision};

use crate::events::{Event, log_event};
use crate::fleet::{
    feed::{FeedUpdate, follow},
    mirror::{ChangeSet, SyncEnd, SyncMessages},
    wire::{Frame, ToCoordinator, ToHost},
};

use super::{FirstFeed, FleetControl, StoreRelay, VerifiedView, coordination::encode};

/// Staleness of the configuration above which a host calls the store itself. A
/// working feed verifies its state once a second, and client hosts receive that
/// 0.2 s later.
const MAX_CONFIG_STALENESS: Duration = Duration::from_millis(1_600);

/// Time after its acknowledgement within which a configuration must be in force
/// on every host that reaches the store, as the users require.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(2);

/// Time for a host to detect that its view is stale and to read the changes
/// itself.
const DETECTION_TIME: Duration = Duration::from_millis(250);

// A change may be acknowledged right after the last verification of a
// coordinator that the store then turns away.
const _: () = assert!(
    MAX_CONFIG_STALENESS.as_millis() + DETECTION_TIME.as_millis() < MAX_ACTIVATION_TIME.as_millis()
);

/// Staleness up to which a host's view of the store counts as current.
const MAX_FRESH_STALENESS: Duration = Duration::from_millis(1_300);

/// Staleness of a coordinator above which client hosts that reach the store
/// choose another one: longer than the store's own pauses, shorter than the
/// time for which API keys are accepted without verification.
const MAX_COORDINATOR_STALENESS: Duration = Duration::from_millis(3_100);

/// Time for which a coordinator is not chosen again after its view became
/// stale.
const STALE_COORDINATOR_TIME: Duration = Duration::from_secs(4);

impl FleetControl {
    /// Starts watching the store, from the revision that is already known.
    pub(super) fn start_feed(&mut self) {
        if self.feed.is_some() {
            return;
        }
        let after = Some(self.mirror.revision()).filter(|revision| revision.0 > 0);
        let (store, clock) = (self.store.clone(), self.host_state.clock);
        let following = follow(store, clock, after, self.store_tx.clone());
        self.feed = Some(actix_rt::spawn(following));
    }

    fn stop_feed(&mut self) {
        if let Some(feed) = self.feed.take() {
            feed.abort();
        }
    }

    /// Stops the feed of a host that has just listed the store and is connected to its
    /// coordinator, which will relay the changes.
    pub(super) fn stop_first_feed(&mut self) {
        if self.first_feed == FirstFeed::Listed && self.is_connected() {
            self.first_feed = FirstFeed::Ended;
            self.stop_feed();
        }
    }

    /// Starts this host's own feed if it has no session with another coordinator, or if
    /// the configuration is stale: a coordinator that is being connected to may be down,
    /// and only the store tells of other hosts.
    pub(super) fn start_feed_if_stale(&mut self) {
        let client = self.is_connected();
        let staleness = self.now().since(self.host_state.verified_at());
        let is_alone = self.coordinator_client.session_host().is_none();
        if self.feed.is_none() && (is_alone || staleness > MAX_CONFIG_STALENESS) {
            if client {
                log_event!(Event::StoreCalledDirectly, proof_ms = staleness.as_millis() as u64);
            }
            self.start_feed();
        }
    }

    /// Steps down if this host does not reach the store and most hosts have
    /// left it for that reason. The remaining client hosts do not reach the
    /// store either, so they can't tell that another host does.
    pub(super) fn step_down_if_stale(&mut self) {
        let now = self.now();
        let stale = now.since(self.host_state.verified_at()) > MAX_COORDINATOR_STALENESS;
        let few_clients = 2 * (self.clients.len() + 1) <= self.members.len();
        let is_alone = self.coordinator_client.session_host().is_none();
        if stale && few_clients && is_alone && !self.clients.is_empty() {
            log_event!(Event::CoordinatorStoreUnreachable, host:% = self.me.id);
            self.search.leave_out(self.me.id.clone(), now + STALE_COORDINATOR_TIME);
            self.notify_not_coordinator();
            self.choose_coordinator();
        }
    }

    /// Handles a pong on the current session: the coordinator knew all changes up to
    /// `revision`, and had last verified that `staleness` before it responded to the ping of
    /// time `sent`.
    pub(super) fn handle_pong(
        &mut self,
        host: &HostId,
        sent: MonoTime,
        revision: Revision,
        staleness: Duration,
    ) {
        let known = self.mirror.revision();
        let own_staleness = self.now().since(self.host_state.verified_at());
        if staleness > MAX_COORDINATOR_STALENESS && own_staleness <= MAX_FRESH_STALENESS {
            log_event!(
                Event::CoordinatorStoreUnreachable,
                host:% = host,
                proof_ms = staleness.as_millis() as u64
            );
            self.search.leave_out(host.clone(), self.now() + STALE_COORDINATOR_TIME);
            return;
        }
        self.use_coordinator(host);
        let Some(session) = self.coordinator_client.session_mut() else { return };
        let relay = session.relay;
        if relay != StoreRelay::Active {
            session.verified = Some(VerifiedView { revision, at: sent - staleness });
        }
        match relay {
            // A host that has not read the store would be sent all of it.
            StoreRelay::Off
                if staleness <= MAX_FRESH_STALENESS && known.0 > 0 && revision >= known =>
            {
                session.relay = StoreRelay::Requested;
                self.send_to_coordinator(host, ToCoordinator::Sync(known.0));
            }
            StoreRelay::Active if revision >= known => {
                self.set_verified(sent - staleness);
                if staleness <= MAX_FRESH_STALENESS {
                    self.stop_feed();
                }
            }
            StoreRelay::Off | StoreRelay::Requested | StoreRelay::Active => {}
        }
    }

    /// Handles the end of a sync: everything that the coordinator knew when it
    /// was requested has been sent.
    pub(super) fn finish_sync(&mut self, host: &HostId, end: &SyncEnd) {
        if !self.is_relayed(self.mirror.can_finish_sync(end)) {
            return;
        }
        let relay = if end.revision() >= self.mirror.revision() {
            StoreRelay::Active
        } else {
            StoreRelay::Off
        };
        let verified = self.coordinator_client.session_mut().and_then(|session| {
            session.relay = relay;
            session.verified.take()
        });
        if relay == StoreRelay::Off {
            // This host's own feed has read more in the meantime.
            return;
        }
        log_event!(Event::StoreStateRelayed, host:% = host, revision:% = end.revision());
        let deletions = self.mirror.missing_deletions(end);
        self.apply_update(FeedUpdate::Changes(deletions, end.revision()));
        // Not only with the next pong: until then the view may become stale.
        if let Some(view) = verified.filter(|view| view.revision <= end.revision()) {
            self.set_verified(view.at);
        }
    }

    pub(super) fn apply_relayed_changes(&mut self, changes: ChangeSet) {
        if self.is_relayed(self.mirror.can_apply(&changes)) {
            let (events, revision) = changes.into_events();
            self.apply_update(FeedUpdate::Changes(events, revision));
        }
    }

    /// Returns true if the coordinator relays the store's changes to this host and no
    /// change is missing before the message. Turns the relay off on a gap.
    fn is_relayed(&mut self, contiguous: bool) -> bool {
        let Some(session) = self.coordinator_client.session_mut() else { return false };
        if session.relay == StoreRelay::Active && !contiguous {
            session.relay = StoreRelay::Off;
        }
        // A message that was sent before the sync was requested may come after
        // a gap; it is dropped.
        session.relay != StoreRelay::Off && contiguous
    }

    /// Sends a client host the changes that it lacks, and every later change.
    pub(super) fn sync_client(&mut self, host: &HostId, from: Revision) {
        let Some(client) = self.clients.get_mut(host) else { return };
        client.synced = true;
        for frame in self.encode_changes_since(from) {
            self.send_frame(host, frame);
        }
        if let Some(config) = self.newer_config() {
            self.send_to_client(host, &config);
        }
        let notices: Vec<_> = self.directory.leaving_notices().cloned().collect();
        for notice in notices {
            self.send_to_client(host, &ToHost::RunnerNotice(notice));
        }
    }

    /// Sends the entry of a granted runner to a client host that may not have
    /// read the whole store.
    pub(super) fn send_runner_entry(&mut self, host: &HostId, reply: &PlacementReply) {
        let synced = self.clients.get(host).is_none_or(|client| client.synced);
        if let (PlacementReply::Grant(_, runner, _), false) = (reply, synced)
            && let Some(entry) = self.directory.usable(runner)
        {
            let message = ToHost::Runner(Box::new(entry.clone()));
            self.send_to_client(host, &message);
        }
    }

    /// Adds a runner that this host has not read from the store yet.
    pub(super) fn add_runner(&mut self, entry: RunnerEntry) {
        let mut changes = Vec::new();
        self.directory.put_before_listing(entry, &mut changes);
        self.apply_runner_changes(changes);
    }

    /// Encodes the changes after revision `from`.
    fn encode_changes_since(&self, from: Revision) -> Vec<Frame> {
        let SyncMessages { changes, end } = self.mirror.changes_since(from);
        let changes = changes.into_iter().map(ToHost::Changes);
        let messages = changes.chain([ToHost::SyncEnd(end)]);
        messages.filter_map(|message| encode(&message)).collect()
    }

    fn synced_clients(&self) -> Vec<HostId> {
        let clients = self.clients.iter().filter(|(_, client)| client.synced);
        clients.map(|(host, _)| host.clone()).collect()
    }

    /// Forwards changes to the client hosts that receive them from this one.
    pub(super) fn forward_changes(
        &mut self,
        events: &[KvEvent],
        after: Revision,
        revision: Revision,
    ) {
        let clients = self.synced_clients();
        if events.is_empty() || clients.is_empty() {
            return;
        }
        let changes = ToHost::Changes(ChangeSet::new(events, after, revision));
        let Some(frame) = encode(&changes) else { return };
        for host in clients {
            self.send_frame(&host, frame.clone());
        }
    }

    /// Forwards what a new listing changed since `before`. A client host that
    /// watched the store itself in the meantime may know a key that was created
    /// and deleted since, so the set of all keys is sent too.
    pub(super) fn forward_listing(&mut self, before: Revision) {
        let clients = self.synced_clients();
        if clients.is_empty() {
            return;
        }
        let frames = self.encode_changes_since(before);
        for host in clients {
            for frame in &frames {
                self.send_frame(&host, frame.clone());
            }
        }
    }
}
