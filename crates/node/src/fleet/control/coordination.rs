//! Choice of this host's coordinator, and the sessions with client hosts.

use std::time::Duration;

use comfreyway_core::{
    fleet::{Member, OpenOutcome, RecordSource},
    ids::HostId,
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Revision};

use crate::{
    events::{Event, log_event},
    fleet::{
        sessions::{SessionEnd, SessionEvent, dial, probe},
        wire::{Frame, PROTOCOL, ToCoordinator, ToHost},
    },
};

use super::{ClientSession, CoordinatorSession, FleetControl, StoreRelay};

/// Time for which a coordinator is not chosen again after it has stepped down.
const STEP_DOWN_TIME: Duration = Duration::from_secs(10);

impl FleetControl {
    /// Switches to this host's own coordinator.
    pub(super) fn use_own_coordinator(&mut self) {
        let now = self.now();
        let mut actions = Vec::new();
        self.coordinator.local_host_joined(now, self.me.id.clone());
        self.coordinator_client.set_coordinator(now, None, &mut actions);
        self.execute(actions, Vec::new());
    }

    /// Switches to the coordinator to which the session is up.
    pub(super) fn use_coordinator(&mut self, host: HostId) {
        if self.coordinator_client.coordinator() == Some(&host) {
            return;
        }
        let now = self.now();
        let (mut actions, mut replies) = (Vec::new(), Vec::new());
        // Before the open requests, some of which may go on with these streams.
        self.report_streams(&host);
        self.report_suspects(&host);
        self.report_limits(&host);
        self.search.coordinator_found();
        self.coordinator_client.set_coordinator(now, Some(host), &mut actions);
        self.execute(actions, Vec::new());
        self.coordinator.host_left(now, &self.me.id.clone(), &mut replies);
        self.execute(Vec::new(), replies);
        // Not earlier: only now is the other coordinator known to respond.
        self.notify_not_coordinator();
    }

    /// Returns true if this host is a client of another one.
    fn is_client(&self) -> bool {
        self.coordinator_client.coordinator().is_some()
    }

    /// Elects a coordinator among the known hosts. A working one is kept: each
    /// change loses the quotas' record of recent use and submits all requests
    /// again. Two groups of hosts merge because the coordinator that loses the
    /// election becomes a client of the other.
    pub(super) fn choose_coordinator(&mut self) {
        let now = self.now();
        let kept = self
            .coordinator_session
            .as_ref()
            .filter(|session| self.coordinator_client.coordinator() == Some(&session.host));
        if kept.is_some_and(|session| !self.search.is_left_out(now, &session.host)) {
            return;
        }
        let tried = self.next_attempt(now);
        let current = self.coordinator_session.as_ref().map(|session| &session.host);
        if current == tried.first().map(|member| &member.id) {
            return;
        }
        self.coordinator_session = None;
        self.use_own_coordinator();
        if let Some((elected, probed)) = tried.split_first() {
            self.open_session(elected);
            for member in probed {
                actix_rt::spawn(probe(member.clone(), self.session_tx.clone()));
            }
        }
    }

    pub(super) fn open_session(&mut self, to: &Member) {
        log_event!(Event::CoordinatorChosen, host:% = to.id, address:% = to.address);
        self.coordinator_session = Some(CoordinatorSession {
            host: to.id.clone(),
            tx: None,
            relay: StoreRelay::Off,
            verified: None,
            protocol: 0,
        });
        actix_rt::spawn(dial(
            self.me.id.clone(),
            to.clone(),
            self.host_state.clock,
            self.session_tx.clone(),
        ));
    }

    /// Notifies the client hosts to choose another coordinator.
    pub(super) fn notify_not_coordinator(&self) {
        let Some(frame) = encode(&ToHost::NotCoordinator) else { return };
        for (_, client) in self.clients.iter() {
            if client.tx.try_send(frame.clone()).is_err() {
                log::debug!("can't send NotCoordinator to a client host; its session will end");
            }
        }
    }

    pub(super) fn handle_session_event(&mut self, event: SessionEvent) {
        let now = self.now();
        match event {
            SessionEvent::HostUp(host, session, tx, protocol) => {
                log_event!(Event::ClientHostConnected, host:% = host);
                let client = ClientSession { tx, synced: false, protocol };
                self.register_client(&host, session, client);
            }
            SessionEvent::FromHost(host, session, _)
                if !self.clients.is_current(&host, session) =>
            {
                log::debug!("ignored a message on a former session of {host}");
            }
            // Sent before the host received `NotCoordinator`. It reports its open
            // requests to its next coordinator.
            SessionEvent::FromHost(_, _, ToCoordinator::Update(_)) if self.is_client() => {}
            SessionEvent::FromHost(host, _, ToCoordinator::Update(update)) => {
                let mut replies = Vec::new();
                self.coordinator.handle_update(now, &host, update, &mut replies);
                self.execute(Vec::new(), replies);
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Ping(sent)) => {
                self.coordinator.host_heartbeat(now, &host, MonoTime::from_micros(sent));
                let staleness = now.since(self.host_state.verified_at());
                let (revision, hosts) =
                    (self.mirror.revision().0, self.coordinator.share_basis().known);
                self.send_to_client(
                    &host,
                    &ToHost::Pong(sent, revision, staleness, hosts, PROTOCOL),
                );
            }
            SessionEvent::FromHost(host, _, ToCoordinator::RunnerNotice(notice)) => {
                self.handle_client_notice(now, &host, &notice);
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Sync(from)) => {
                self.sync_client(&host, Revision(from));
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Streams(records))
            | SessionEvent::FromCoordinator(_, ToHost::Streams(records)) => {
                self.learn_streams(records);
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Limit(report)) => {
                self.apply_limit(now, &report);
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Load(runner, load)) => {
                self.coordinator.set_runner_load(now, &runner, load);
            }
            SessionEvent::FromCoordinator(host, ToHost::Limits(limits)) => {
                if self.coordinator_session.as_ref().is_some_and(|session| session.host == host) {
                    self.set_limits(limits);
                }
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Suspects(records)) => {
                self.learn_suspects(records, RecordSource::Client);
            }
            SessionEvent::FromCoordinator(host, ToHost::Suspects(records)) => {
                if self.coordinator_session.as_ref().is_some_and(|session| session.host == host) {
                    self.learn_suspects(records, RecordSource::Coordinator);
                }
            }
            SessionEvent::FromHost(host, _, ToCoordinator::Hello(..)) => {
                log::warn!("host {host} sent a second hello");
            }
            SessionEvent::HostDown(host, session) => {
                if self.clients.close(&host, session) {
                    log_event!(
                        Event::ClientHostDisconnected,
                        host:% = host,
                        cause = "session ended"
                    );
                    self.discard_requests(&host);
                }
            }
            SessionEvent::CoordinatorUp(host, tx) => {
                let Some(session) =
                    self.coordinator_session.as_mut().filter(|session| session.host == host)
                else {
                    return;
                };
                log_event!(Event::CoordinatorConnected, host:% = host);
                // It is used once its first pong shows how current its view of
                // the store is.
                session.tx = Some(tx);
                self.stop_first_feed();
            }
            SessionEvent::FromCoordinator(host, ToHost::Reply(reply)) => {
                let mut actions = Vec::new();
                self.coordinator_client.handle_reply(Some(&host), reply, &mut actions);
                self.execute(actions, Vec::new());
            }
            SessionEvent::FromCoordinator(host, ToHost::Runner(entry)) => {
                if self.coordinator_session.as_ref().is_some_and(|session| session.host == host) {
                    self.add_runner(*entry);
                }
            }
            SessionEvent::FromCoordinator(_, ToHost::Config(item)) => {
                if let KvEvent::Put(item) = KvEvent::from(item) {
                    self.apply_newer_config(&item);
                }
            }
            SessionEvent::FromCoordinator(_, ToHost::RunnerNotice(notice)) => {
                self.apply_notice(now, &notice);
            }
            SessionEvent::FromCoordinator(
                host,
                ToHost::Pong(sent, revision, staleness, hosts, protocol),
            ) => {
                self.coordinator.set_reported_hosts(now, hosts);
                if let Some(session) = self.coordinator_session.as_mut()
                    && session.host == host
                {
                    session.protocol = protocol;
                }
                self.handle_pong(&host, MonoTime::from_micros(sent), Revision(revision), staleness);
            }
            SessionEvent::FromCoordinator(host, ToHost::SyncEnd(end)) => {
                self.finish_sync(&host, &end);
            }
            SessionEvent::FromCoordinator(host, ToHost::Changes(changes)) => {
                self.apply_relayed_changes(&host, changes);
            }
            SessionEvent::FromCoordinator(host, ToHost::NotCoordinator) => {
                // A host that this one has not switched to yet is a client of
                // another host for now.
                let was_coordinator = self.coordinator_client.coordinator() == Some(&host);
                match was_coordinator {
                    true => self.search.leave_out(host, now + STEP_DOWN_TIME),
                    false => self.search.session_failed(now, host),
                }
                self.choose_coordinator();
            }
            SessionEvent::CoordinatorDown(host, end) => {
                if self.coordinator_session.as_ref().is_some_and(|session| session.host == host) {
                    self.coordinator_session = None;
                    match end {
                        SessionEnd::Silence if !self.is_client() => {
                            self.search.host_silent(now, host);
                        }
                        _ => self.search.session_failed(now, host),
                    }
                    self.use_own_coordinator();
                    self.choose_coordinator();
                }
            }
            // One that ends late says nothing of a host that is connected by now.
            SessionEvent::Probed(..) if self.is_client() || self.is_connected() => {}
            SessionEvent::Probed(host, responds) => {
                match responds {
                    true => self.search.host_responded(&host),
                    false => self.search.host_silent(now, host),
                }
                self.choose_coordinator();
            }
        }
    }

    /// Registers a session of a client host.
    fn register_client(&mut self, host: &HostId, session: u64, client: ClientSession) {
        match self.clients.open(host, session, client) {
            OpenOutcome::First => {}
            OpenOutcome::Replaces => self.discard_requests(host),
            OpenOutcome::Outdated => return,
        }
        if self.is_client() {
            // A client of another host does not coordinate: its own clients
            // would form a separate group for as long as both sessions last.
            self.send_to_client(host, &ToHost::NotCoordinator);
        } else {
            self.coordinator.host_joined(self.now(), host.clone());
            self.send_known_suspects(host);
            self.send_known_limits(host);
        }
    }

    /// Discards the requests of a client host whose session has ended.
    fn discard_requests(&mut self, host: &HostId) {
        let mut replies = Vec::new();
        self.coordinator.host_left(self.now(), host, &mut replies);
        self.execute(Vec::new(), replies);
    }

    pub(super) fn send_to_client(&mut self, host: &HostId, message: &ToHost) {
        if let Some(frame) = encode(message) {
            self.send_frame(host, frame);
        }
    }

    pub(super) fn send_frame(&mut self, host: &HostId, frame: Frame) {
        let Some(client) = self.clients.get(host) else { return };
        if client.tx.try_send(frame).is_err() {
            log_event!(Event::SessionQueueFull, host:% = host);
            self.clients.remove(host);
            self.discard_requests(host);
        }
    }

    pub(super) fn send_to_coordinator(&mut self, host: &HostId, message: ToCoordinator) {
        let session = self.coordinator_session.as_ref().filter(|session| session.host == *host);
        let Some(session) = session else { return };
        let Some(tx) = session.tx.as_ref() else { return };
        let message = message.for_protocol(session.protocol);
        if tx.try_send(message).is_err() {
            log_event!(Event::SessionQueueFull, host:% = host);
            self.coordinator_session = None;
        }
    }
}

/// Encodes a message. Logs an error and returns `None` if that fails.
pub(super) fn encode(message: &ToHost) -> Option<Frame> {
    Frame::new(message).map_err(|e| log::error!("can't encode a message to a host: {e}")).ok()
}
