//! Choice of this host's coordinator, and the session with it.

use std::time::Duration;

use comfreyway_core::{
    fleet::{EndedSession, Member, RecordSource},
    ids::HostId,
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Revision};
use tokio::sync::mpsc::{Sender, error::TrySendError};

use crate::{
    events::{Event, log_event},
    fleet::{
        sessions::{SessionEnd, dial, probe},
        wire::{ToCoordinator, ToHost},
    },
};

use super::{CoordinatorSession, FleetControl};

/// Time for which a coordinator is not chosen again after it has stepped down.
const STEP_DOWN_TIME: Duration = Duration::from_secs(10);

impl FleetControl {
    /// Returns true if this host is a client of another one.
    pub(super) fn is_client(&self) -> bool {
        self.coordinator_client.coordinator().is_some()
    }

    /// Returns true if a session with another coordinator is open.
    pub(super) fn is_connected(&self) -> bool {
        self.coordinator_client.session().is_some()
    }

    /// Returns the protocol of the coordinator to which a session is open; zero if it is
    /// not known yet.
    pub(super) fn coordinator_protocol(&self) -> u8 {
        self.coordinator_client.session().map_or(0, |session| session.protocol)
    }

    /// Elects a coordinator among the known hosts. A working one is kept: each
    /// change loses the quotas' record of recent use and submits all requests
    /// again. Two groups of hosts merge because the coordinator that loses the
    /// election becomes a client of the other.
    pub(super) fn choose_coordinator(&mut self) {
        if self.coordinator_client.has_failed() {
            self.coordinator_lost(SessionEnd::Other);
        }
        let now = self.now();
        let kept = self.coordinator_client.coordinator();
        if kept.is_some_and(|host| !self.search.is_left_out(now, host)) {
            return;
        }
        let tried = self.next_attempt(now);
        let current = self.coordinator_client.session_host();
        if current == tried.first().map(|member| &member.id) {
            return;
        }
        self.end_session();
        if let Some((elected, probed)) = tried.split_first() {
            self.open_session(elected);
            for member in probed {
                actix_rt::spawn(probe(member.clone(), self.session_tx.clone()));
            }
        }
    }

    pub(super) fn open_session(&mut self, to: &Member) {
        log_event!(Event::CoordinatorChosen, host:% = to.id, address:% = to.address);
        let (now, mut actions) = (self.now(), Vec::new());
        let session = self.coordinator_client.dial(now, to.id.clone(), &mut actions);
        self.execute(actions, Vec::new());
        actix_rt::spawn(dial(
            self.me.id.clone(),
            to.clone(),
            session,
            self.host_state.clock,
            self.session_tx.clone(),
        ));
    }

    pub(super) fn session_opened(
        &mut self,
        host: &HostId,
        session: u64,
        tx: Sender<ToCoordinator>,
    ) {
        // It is used once its first pong shows how current its view of the store is.
        if self.coordinator_client.session_opened(session, CoordinatorSession::new(tx)) {
            log_event!(Event::CoordinatorConnected, host:% = host);
            self.stop_first_feed();
        }
    }

    /// Uses the coordinator to which a session is open.
    pub(super) fn use_coordinator(&mut self, host: &HostId) {
        if self.is_client() {
            return;
        }
        let now = self.now();
        let (mut actions, mut replies) = (Vec::new(), Vec::new());
        // Before the open requests, some of which may go on with these streams.
        self.report_streams(host);
        self.report_suspects(host);
        self.report_limits(host);
        if !self.coordinator_client.use_session(now, &mut actions) {
            return;
        }
        self.search.coordinator_found();
        self.execute(actions, Vec::new());
        self.coordinator.host_left(now, &self.me.id.clone(), &mut replies);
        self.execute(Vec::new(), replies);
        // Not earlier: only now is the other coordinator known to respond.
        if !self.coordinator_client.has_failed() {
            self.notify_not_coordinator();
        }
    }

    /// Ends the session with another coordinator, if there is one: this host's own places
    /// its requests, also those that the other one had.
    pub(super) fn end_session(&mut self) -> Option<EndedSession> {
        let (now, mut actions) = (self.now(), Vec::new());
        self.coordinator.local_host_joined(now, self.me.id.clone());
        let ended = self.coordinator_client.end_session(now, &mut actions);
        self.execute(actions, Vec::new());
        ended
    }

    /// Ends a session that was lost. Its host is not chosen again for now.
    pub(super) fn coordinator_lost(&mut self, end: SessionEnd) {
        let Some(ended) = self.end_session() else { return };
        let now = self.now();
        match end {
            SessionEnd::Silence if !ended.was_used => self.search.host_silent(now, ended.host),
            SessionEnd::Silence | SessionEnd::Other => self.search.session_failed(now, ended.host),
        }
    }

    /// Ends a session that was found to take no messages.
    pub(super) fn leave_failed_session(&mut self) {
        if self.coordinator_client.has_failed() {
            self.choose_coordinator();
        }
    }

    pub(super) fn send_to_coordinator(&mut self, host: &HostId, message: ToCoordinator) {
        if self.coordinator_client.session_host() != Some(host) {
            return;
        }
        let Some(session) = self.coordinator_client.session() else { return };
        let message = message.for_protocol(session.protocol);
        match session.tx.try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                log_event!(Event::SessionQueueFull, host:% = host);
                self.coordinator_client.session_failed();
            }
            Err(TrySendError::Closed(_)) => {
                log_event!(Event::SessionEnded, host:% = host);
                self.coordinator_client.session_failed();
            }
        }
    }

    /// Handles a message on a session with another coordinator, which may be a former one.
    pub(super) fn handle_coordinator_message(
        &mut self,
        host: HostId,
        session: u64,
        message: ToHost,
    ) {
        let now = self.now();
        match message {
            // Facts, whatever the session.
            ToHost::Streams(records) => self.learn_streams(records),
            ToHost::Config(item) => {
                if let KvEvent::Put(item) = KvEvent::from(item) {
                    self.apply_newer_config(&item);
                }
            }
            ToHost::RunnerNotice(notice) => {
                self.apply_notice(now, &notice);
            }
            _ if !self.coordinator_client.is_current(session) => {
                log::debug!("ignored a message on a former session with {host}");
            }
            ToHost::Limits(limits) => self.set_limits(limits),
            ToHost::Suspects(records) => {
                self.learn_suspects(records, RecordSource::Coordinator);
            }
            ToHost::Runner(entry) => self.add_runner(*entry),
            ToHost::Reply(reply) => {
                let mut actions = Vec::new();
                self.coordinator_client.handle_reply(Some(&host), reply, &mut actions);
                self.execute(actions, Vec::new());
            }
            ToHost::Pong(sent, revision, staleness, hosts, protocol) => {
                self.coordinator.set_reported_hosts(now, hosts);
                if let Some(session) = self.coordinator_client.session_mut() {
                    session.protocol = protocol;
                }
                self.handle_pong(&host, MonoTime::from_micros(sent), Revision(revision), staleness);
            }
            ToHost::SyncEnd(end) => self.finish_sync(&host, &end),
            ToHost::Changes(changes) => self.apply_relayed_changes(changes),
            ToHost::NotCoordinator => {
                // A host that this one has not switched to yet is a client of
                // another host for now.
                match self.is_client() {
                    true => self.search.leave_out(host, now + STEP_DOWN_TIME),
                    false => self.search.session_failed(now, host),
                }
                self.choose_coordinator();
            }
        }
    }
}
