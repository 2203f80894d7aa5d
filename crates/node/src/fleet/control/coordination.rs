//! Whom this host asks, and who asks this host.

use std::time::Duration;

use comfreyway_core::{fleet::OpenOutcome, ids::HostId, time::MonoTime};
use comfreyway_platform::Revision;
use tokio::sync::mpsc::Sender;

use crate::{
    events::{Event, log_event},
    fleet::{
        sessions::SessionEvent,
        wire::{Frame, ToCoordinator, ToHost},
    },
};

use super::{AskingHost, FleetControl};

/// Time for which a host is not asked after its session failed.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a host is not asked that said it was stopping.
const LEAVING_TIME: Duration = Duration::from_secs(10);

impl FleetControl {
    /// Decides by this host's own coordinator from now on.
    pub(super) fn follow_own(&mut self) {
        let now = self.now();
        let mut actions = Vec::new();
        self.coordinator.local_host_joined(now, self.me.id.clone());
        self.desk.set_coordinator(now, None, &mut actions);
        self.carry_out(actions, Vec::new());
    }

    /// Asks the coordinator to which the session is up from now on.
    pub(super) fn follow_other(&mut self, host: HostId) {
        if self.desk.coordinator() == Some(&host) {
            return;
        }
        let now = self.now();
        let (mut actions, mut tells) = (Vec::new(), Vec::new());
        self.desk.set_coordinator(now, Some(host), &mut actions);
        self.carry_out(actions, Vec::new());
        self.coordinator.host_left(now, &self.me.id.clone(), &mut tells);
        self.carry_out(Vec::new(), tells);
        // Not before the other one has shown that it answers.
        self.tell_leaving();
    }

    /// True if another host's coordinator decides for this one.
    fn follows_other(&self) -> bool {
        self.desk.coordinator().is_some()
    }

    /// Chooses the coordinator anew from the hosts that are known. A sound one
    /// is kept: each change costs the quotas' memory and asks for all requests
    /// again. Two groups of hosts find together because the younger of their
    /// coordinators asks the older one.
    pub(super) fn choose_coordinator(&mut self) {
        let now = self.now();
        self.suspects.retain(|_, until| now < *until);
        let kept = self.link.as_ref().filter(|link| self.desk.coordinator() == Some(&link.host));
        if kept.is_some_and(|link| !self.suspects.contains_key(&link.host)) {
            return;
        }
        let wanted = self.elected(now).filter(|member| member.id != self.me.id);
        let present = self.link.as_ref().map(|link| &link.host);
        if present == wanted.as_ref().map(|member| &member.id) {
            return;
        }
        self.link = None;
        self.follow_own();
        if let Some(member) = wanted {
            self.dial(&member);
        }
    }

    pub(super) fn session_event(&mut self, event: SessionEvent) {
        let now = self.now();
        match event {
            SessionEvent::HostUp(host, session, tx) => {
                log_event!(Event::ClientHostConnected, host:% = host);
                self.host_up(&host, session, tx);
            }
            SessionEvent::FromHost(host, session, _) if !self.hosts.is_current(&host, session) => {
                log::debug!("a former session of {host} still told something");
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Update(_)) if self.follows_other() => {}
            SessionEvent::FromHost(host, _, ToCoordinator::Update(ask)) => {
                let mut tells = Vec::new();
                self.coordinator.handle_update(now, &host, ask, &mut tells);
                self.carry_out(Vec::new(), tells);
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Ping(sent)) => {
                self.coordinator.host_heartbeat(now, &host, MonoTime::from_micros(sent));
                let age = now.since(self.knowledge.proven());
                self.send_to_host(&host, &ToHost::Pong(sent, self.mirror.at().0, age));
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Sync(from)) => {
                self.sync(&host, Revision(from));
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Hello(..)) => {
                log::warn!("host {host} greets twice");
            }
            SessionEvent::HostDown(host, session) => {
                if self.hosts.close(&host, session) {
                    log_event!(Event::ClientHostDisconnected, host:% = host, cause = "its session ended");
                    self.host_left(&host);
                }
            }
            SessionEvent::CoordinatorUp(host, tx) => {
                let Some(link) = self.link.as_mut().filter(|link| link.host == host) else {
                    return;
                };
                log_event!(Event::CoordinatorConnected, host:% = host);
                // It is asked once its first answer shows what it knows.
                link.tx = Some(tx);
            }
            SessionEvent::FromCoordinator(host, ToHost::Reply(tell)) => {
                let mut actions = Vec::new();
                self.desk.handle_reply(Some(&host), tell, &mut actions);
                self.carry_out(actions, Vec::new());
            }
            SessionEvent::FromCoordinator(host, ToHost::Runner(entry)) => {
                if self.link.as_ref().is_some_and(|link| link.host == host) {
                    self.introduced(*entry);
                }
            }
            SessionEvent::FromCoordinator(host, ToHost::Pong(sent, at, age)) => {
                self.relayed_proof(&host, MonoTime::from_micros(sent), Revision(at), age);
            }
            SessionEvent::FromCoordinator(host, ToHost::Complete(end)) => {
                self.relay_complete(&host, &end);
            }
            SessionEvent::FromCoordinator(host, ToHost::Changes(changes)) => {
                self.relayed_changes(&host, changes);
            }
            SessionEvent::FromCoordinator(host, ToHost::Leaving) => {
                // One that was never followed asks another one itself for now.
                let followed = self.desk.coordinator() == Some(&host);
                let time = if followed { LEAVING_TIME } else { SUSPECT_TIME };
                self.suspects.insert(host, now + time);
                self.choose_coordinator();
            }
            SessionEvent::CoordinatorDown(host) => {
                if self.link.as_ref().is_some_and(|link| link.host == host) {
                    self.link = None;
                    self.suspects.insert(host, now + SUSPECT_TIME);
                    self.follow_own();
                    self.choose_coordinator();
                }
            }
        }
    }

    /// A host asks this one from now on.
    fn host_up(&mut self, host: &HostId, session: u64, tx: Sender<Frame>) {
        match self.hosts.open(host, session, AskingHost { tx, synced: false }) {
            OpenOutcome::First => {}
            OpenOutcome::Replaces => self.host_left(host),
            OpenOutcome::Outdated => return,
        }
        if self.follows_other() {
            // Whoever asks another one coordinates nobody: the hosts that
            // ask it would be a group of their own for as long as both last.
            self.send_to_host(host, &ToHost::Leaving);
        } else {
            self.coordinator.host_joined(self.now(), host.clone());
        }
    }

    /// What a host asked on a session that is over is void.
    fn host_left(&mut self, host: &HostId) {
        let mut tells = Vec::new();
        self.coordinator.host_left(self.now(), host, &mut tells);
        self.carry_out(Vec::new(), tells);
    }

    pub(super) fn send_to_host(&mut self, host: &HostId, message: &ToHost) {
        if let Some(frame) = frame(message) {
            self.send_frame(host, frame);
        }
    }

    pub(super) fn send_frame(&mut self, host: &HostId, frame: Frame) {
        let Some(asking) = self.hosts.get(host) else { return };
        if asking.tx.try_send(frame).is_err() {
            log_event!(Event::SessionQueueFull, host:% = host);
            self.hosts.remove(host);
            self.host_left(host);
        }
    }

    pub(super) fn send_to_coordinator(&mut self, host: &HostId, message: ToCoordinator) {
        let link = self.link.as_ref().filter(|link| link.host == *host);
        let Some(tx) = link.and_then(|link| link.tx.as_ref()) else { return };
        if tx.try_send(message).is_err() {
            log_event!(Event::SessionQueueFull, host:% = host);
            self.link = None;
        }
    }
}

/// None, with a line in the log, if the message can't be written.
pub(super) fn frame(message: &ToHost) -> Option<Frame> {
    Frame::new(message).map_err(|e| log::error!("a message to a host is lost: {e}")).ok()
}
