//! Decides whether this host watches the store itself or receives its changes
//! from the coordinator.
//!
//! A host relies on its coordinator only while the coordinator's view of the
//! store is verified as current. It starts its own feed when that view becomes
//! stale, and stops the feed once the coordinator's view is fresh and at least
//! as new as its own.

use std::time::Duration;

use comfreyway_core::{
    fleet::{PlacementReply, RunnerEntry},
    ids::HostId,
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Revision};

use crate::events::{Event, log_event};
use crate::fleet::{
    feed::{FeedNews, follow},
    mirror::{CatchUp, ChangeSet, Complete},
    wire::{Frame, ToCoordinator, ToHost},
};

use super::{FleetControl, Relay, coordination::frame};

/// Staleness of the configuration above which a host calls the store itself. A
/// working feed verifies its state once a second, and client hosts receive that
/// 0.2 s later.
const OLD_PROOF: Duration = Duration::from_millis(1_600);

/// Time after its acknowledgement within which a configuration must be in force
/// on every host that reaches the store, as the users require.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time for a host to detect that its view is stale and to read the changes
/// itself.
const CATCH_UP: Duration = Duration::from_millis(250);

// A change may be acknowledged right after the last verification of a
// coordinator that the store then turns away.
const _: () = assert!(OLD_PROOF.as_millis() + CATCH_UP.as_millis() < IN_FORCE.as_millis());

/// Staleness up to which a host's view of the store counts as current.
const FRESH_PROOF: Duration = Duration::from_millis(1_300);

/// Staleness of a coordinator above which client hosts that reach the store
/// choose another one: longer than the store's own pauses, shorter than the
/// time for which API keys are accepted without verification.
const BLIND_PROOF: Duration = Duration::from_millis(3_100);

/// Time for which a coordinator is not chosen again after its view became
/// stale.
const BLIND_TIME: Duration = Duration::from_secs(4);

impl FleetControl {
    /// Starts watching the store, from the revision that is already known.
    pub(super) fn start_feed(&mut self) {
        if self.feed.is_some() {
            return;
        }
        let after = Some(self.mirror.at()).filter(|at| at.0 > 0);
        let (store, clock) = (self.store.clone(), self.knowledge.clock);
        let following = follow(store, clock, after, self.store_tx.clone());
        self.feed = Some(actix_rt::spawn(following));
    }

    fn stop_feed(&mut self) {
        if let Some(feed) = self.feed.take() {
            feed.abort();
        }
    }

    /// Starts this host's own feed if the coordinator does not relay the
    /// store's changes or the configuration is stale.
    pub(super) fn review_feed(&mut self) {
        let relayed = self.link.as_ref().is_some_and(|link| link.relay == Relay::On);
        let age = self.now().since(self.knowledge.proven());
        if self.feed.is_none() && (!relayed || age > OLD_PROOF) {
            if relayed {
                log_event!(Event::StoreAskedDirectly, proof_ms = age.as_millis() as u64);
            }
            self.start_feed();
        }
    }

    /// Steps down if this host does not reach the store and most hosts have
    /// left it for that reason. The remaining client hosts do not reach the
    /// store either, so they can't tell that another host does.
    pub(super) fn review_role(&mut self) {
        let now = self.now();
        let blind = now.since(self.knowledge.proven()) > BLIND_PROOF;
        let few = 2 * (self.hosts.len() + 1) <= self.members.len();
        if blind && few && self.link.is_none() && !self.hosts.is_empty() {
            log_event!(Event::CoordinatorBlind, host:% = self.me.id);
            self.suspects.insert(self.me.id.clone(), now + BLIND_TIME);
            self.tell_leaving();
            self.choose_coordinator();
        }
    }

    /// Handles a pong: the coordinator knew all changes up to `at`, verified
    /// `age` before it responded to the ping of time `sent`.
    pub(super) fn relayed_proof(
        &mut self,
        host: &HostId,
        sent: MonoTime,
        at: Revision,
        age: Duration,
    ) {
        let mine = self.mirror.at();
        let own_age = self.now().since(self.knowledge.proven());
        let Some(link) = self.link.as_mut().filter(|link| link.host == *host) else { return };
        if age > BLIND_PROOF && own_age <= FRESH_PROOF {
            log_event!(Event::CoordinatorBlind, host:% = host, proof_ms = age.as_millis() as u64);
            self.suspects.insert(host.clone(), self.now() + BLIND_TIME);
            return;
        }
        let relay = link.relay;
        self.follow_other(host.clone());
        let Some(link) = self.link.as_mut().filter(|link| link.host == *host) else { return };
        match relay {
            // A host that has not read the store would be sent all of it.
            Relay::Off if age <= FRESH_PROOF && mine.0 > 0 && at >= mine => {
                link.relay = Relay::Asked;
                self.send_to_coordinator(host, ToCoordinator::Sync(mine.0));
            }
            Relay::On if at >= mine => {
                if self.plan_readable && self.knowledge.plan().is_some() {
                    self.knowledge.prove(sent - age);
                }
                if age <= FRESH_PROOF {
                    self.stop_feed();
                }
            }
            Relay::Off | Relay::Asked | Relay::On => {}
        }
    }

    /// Handles the end of a sync: everything that the coordinator knew when it
    /// was requested has been sent.
    pub(super) fn relay_complete(&mut self, host: &HostId, end: &Complete) {
        if !self.is_relayed(host, self.mirror.is_completed_by(end)) {
            return;
        }
        let relay = if end.at() >= self.mirror.at() { Relay::On } else { Relay::Off };
        if let Some(link) = &mut self.link {
            link.relay = relay;
        }
        if relay == Relay::Off {
            // This host's own feed has read more in the meantime.
            return;
        }
        log_event!(Event::StoreRelayed, host:% = host, revision = end.at().0);
        let gone = self.mirror.gone(end);
        self.store_news(FeedNews::Changes(gone, end.at()));
    }

    pub(super) fn relayed_changes(&mut self, host: &HostId, changes: ChangeSet) {
        if self.is_relayed(host, self.mirror.continues(&changes)) {
            let (events, at) = changes.into_events();
            self.store_news(FeedNews::Changes(events, at));
        }
    }

    /// Returns true if `host` relays the store's changes to this one and no
    /// change is missing before the message. Turns the relay off on a gap.
    fn is_relayed(&mut self, host: &HostId, follows: bool) -> bool {
        let Some(link) = self.link.as_mut().filter(|link| link.host == *host) else {
            return false;
        };
        if link.relay == Relay::On && !follows {
            link.relay = Relay::Off;
        }
        // A message that was sent before the sync was requested may come after
        // a gap; it is dropped.
        link.relay != Relay::Off && follows
    }

    /// Sends a client host the changes that it lacks, and every later change.
    pub(super) fn sync(&mut self, host: &HostId, from: Revision) {
        let Some(asking) = self.hosts.get_mut(host) else { return };
        asking.synced = true;
        for frame in self.catch_up(from) {
            self.send_frame(host, frame);
        }
    }

    /// Sends the entry of a granted runner to a client host that may not have
    /// read the whole store.
    pub(super) fn introduce_runner(&mut self, host: &HostId, tell: &PlacementReply) {
        let synced = self.hosts.get(host).is_none_or(|asking| asking.synced);
        if let (PlacementReply::Grant(_, runner), false) = (tell, synced)
            && let Some(entry) = self.directory.usable(runner)
        {
            let message = ToHost::Runner(Box::new(entry.clone()));
            self.send_to_host(host, &message);
        }
    }

    /// Adds a runner that this host has not read from the store yet.
    pub(super) fn introduced(&mut self, entry: RunnerEntry) {
        let mut news = Vec::new();
        self.directory.put_before_listing(entry, &mut news);
        self.runner_news(news);
    }

    /// Encodes the changes after revision `from`.
    fn catch_up(&self, from: Revision) -> Vec<Frame> {
        let CatchUp { changes, complete } = self.mirror.since(from);
        let changes = changes.into_iter().map(ToHost::Changes);
        let messages = changes.chain([ToHost::Complete(complete)]);
        messages.filter_map(|message| frame(&message)).collect()
    }

    fn synced(&self) -> Vec<HostId> {
        let synced = self.hosts.iter().filter(|(_, asking)| asking.synced);
        synced.map(|(host, _)| host.clone()).collect()
    }

    /// Forwards changes to the client hosts that receive them from this one.
    pub(super) fn pass_on(&mut self, events: &[KvEvent], after: Revision, at: Revision) {
        let synced = self.synced();
        if events.is_empty() || synced.is_empty() {
            return;
        }
        let changes = ToHost::Changes(ChangeSet::new(events, after, at));
        let Some(frame) = frame(&changes) else { return };
        for host in synced {
            self.send_frame(&host, frame.clone());
        }
    }

    /// Forwards what a new listing changed since `before`. A client host that
    /// watched the store itself in the meantime may know a key that was created
    /// and deleted since, so the set of all keys is sent too.
    pub(super) fn pass_all_on(&mut self, before: Revision) {
        let synced = self.synced();
        if synced.is_empty() {
            return;
        }
        let frames = self.catch_up(before);
        for host in synced {
            for frame in &frames {
                self.send_frame(&host, frame.clone());
            }
        }
    }
}
