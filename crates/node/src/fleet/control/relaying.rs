//! Who calls the store: the coordinator, and every host that it tells nothing.
//!
//! A host believes its coordinator only as far as the coordinator proves that
//! it knows the newest state of the store. It starts its own feed when the
//! proof grows old, and stops it when the coordinator knows at least as much.

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

/// Age of the proof from which a host calls the store itself. A sound feed
/// proves once a second, and its proof is heard 0.2 s later.
const OLD_PROOF: Duration = Duration::from_millis(1_600);

/// Time after its acknowledgement within which a configuration is in force on
/// every host that reaches the store, by the users' bounds.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time for a host to notice an old proof and to hear of the changes itself.
const CATCH_UP: Duration = Duration::from_millis(250);

// A change may be acknowledged right after the last proof of a coordinator that
// the store then turns away.
const _: () = assert!(OLD_PROOF.as_millis() + CATCH_UP.as_millis() < IN_FORCE.as_millis());

/// Age of the coordinator's proof up to which it is asked for changes.
const FRESH_PROOF: Duration = Duration::from_millis(1_300);

/// Age of a coordinator's proof from which hosts that reach the store ask
/// another one: longer than the store's own pauses, shorter than the time for
/// which keys are believed.
const BLIND_PROOF: Duration = Duration::from_millis(3_100);

/// Time for which such a coordinator is not asked.
const BLIND_TIME: Duration = Duration::from_secs(4);

impl FleetControl {
    /// Calls the store from now on, after what is known.
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

    /// Starts the own feed if nobody proves what is known.
    pub(super) fn review_feed(&mut self) {
        let relayed = self.link.as_ref().is_some_and(|link| link.relay == Relay::On);
        let age = self.now().since(self.knowledge.proven());
        if self.feed.is_none() && (!relayed || age > OLD_PROOF) {
            if relayed {
                log_event!(Event::StoreCalledDirectly, proof_ms = age.as_millis() as u64);
            }
            self.start_feed();
        }
    }

    /// Hands over to a host that reaches the store, if this one does not and
    /// most hosts have left it for that. The others can't know by themselves.
    pub(super) fn review_role(&mut self) {
        let now = self.now();
        let blind = now.since(self.knowledge.proven()) > BLIND_PROOF;
        let few = 2 * (self.hosts.len() + 1) <= self.members.len();
        if blind && few && self.link.is_none() && !self.hosts.is_empty() {
            log_event!(Event::CoordinatorStoreUnreachable, host:% = self.me.id);
            self.suspects.insert(self.me.id.clone(), now + BLIND_TIME);
            self.tell_leaving();
            self.choose_coordinator();
        }
    }

    /// The coordinator knows all changes up to `at`, proved `age` before it
    /// answered a question that was sent at `sent`.
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
            log_event!(Event::CoordinatorStoreUnreachable, host:% = host, proof_ms = age.as_millis() as u64);
            self.suspects.insert(host.clone(), self.now() + BLIND_TIME);
            return;
        }
        let relay = link.relay;
        self.follow_other(host.clone());
        let Some(link) = self.link.as_mut().filter(|link| link.host == *host) else { return };
        match relay {
            // A host that has not read the store would be told all of it.
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

    /// All that the coordinator knew of the store when it was asked is told now.
    pub(super) fn relay_complete(&mut self, host: &HostId, end: &Complete) {
        if !self.is_relayed(host, self.mirror.is_completed_by(end)) {
            return;
        }
        let relay = if end.at() >= self.mirror.at() { Relay::On } else { Relay::Off };
        if let Some(link) = &mut self.link {
            link.relay = relay;
        }
        if relay == Relay::Off {
            // The own feed was faster meanwhile.
            return;
        }
        log_event!(Event::StoreStateRelayed, host:% = host, revision = end.at().0);
        let gone = self.mirror.gone(end);
        self.store_news(FeedNews::Changes(gone, end.at()));
    }

    pub(super) fn relayed_changes(&mut self, host: &HostId, changes: ChangeSet) {
        if self.is_relayed(host, self.mirror.continues(&changes)) {
            let (events, at) = changes.into_events();
            self.store_news(FeedNews::Changes(events, at));
        }
    }

    /// True if this host hears of the store from that one, and nothing is
    /// missing before what has come.
    fn is_relayed(&mut self, host: &HostId, follows: bool) -> bool {
        let Some(link) = self.link.as_mut().filter(|link| link.host == *host) else {
            return false;
        };
        if link.relay == Relay::On && !follows {
            link.relay = Relay::Off;
        }
        // What was sent before this host asked may follow on what it lacks.
        link.relay != Relay::Off && follows
    }

    /// Tells a host what it lacks, and every change from now on.
    pub(super) fn sync(&mut self, host: &HostId, from: Revision) {
        let Some(asking) = self.hosts.get_mut(host) else { return };
        asking.synced = true;
        for frame in self.catch_up(from) {
            self.send_frame(host, frame);
        }
    }

    /// Tells a host that may not have read all of the store which runner a grant
    /// names.
    pub(super) fn introduce_runner(&mut self, host: &HostId, tell: &PlacementReply) {
        let synced = self.hosts.get(host).is_none_or(|asking| asking.synced);
        if let (PlacementReply::Grant(_, runner), false) = (tell, synced)
            && let Some(entry) = self.directory.usable(runner)
        {
            let message = ToHost::Runner(Box::new(entry.clone()));
            self.send_to_host(host, &message);
        }
    }

    /// Takes in a runner that this host has not read yet.
    pub(super) fn introduced(&mut self, entry: RunnerEntry) {
        let mut news = Vec::new();
        self.directory.put_before_listing(entry, &mut news);
        self.runner_news(news);
    }

    /// What a host lacks that knows all changes up to `from`.
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

    /// Passes changes on to the hosts that hear of the store from this one.
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

    /// The store was listed anew: tells the hosts that hear of it from this one
    /// what changed since `before`. One that watched by itself meanwhile may know
    /// a key that came and went, so all are told which keys there are.
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
