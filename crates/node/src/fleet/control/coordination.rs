//! Sessions with the client hosts of this coordinator.

use comfreyway_core::{
    fleet::{OpenOutcome, RecordSource},
    ids::HostId,
    time::MonoTime,
};
use comfreyway_platform::Revision;

use crate::{
    events::{Event, log_event},
    fleet::{
        sessions::SessionEvent,
        wire::{Frame, PROTOCOL, ToCoordinator, ToHost},
    },
};

use super::{ClientSession, FleetControl};

impl FleetControl {
    /// Notifies the client hosts to choose another coordinator. The session of one that can't
    /// be told is closed, or it would go on with this host, which ignores its requests.
    pub(super) fn notify_not_coordinator(&mut self) {
        let Some(frame) = encode(&ToHost::NotCoordinator) else { return };
        let hosts: Vec<_> = self.clients.iter().map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_frame(&host, frame.clone());
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
            SessionEvent::FromHost(_, _, ToCoordinator::Streams(records)) => {
                self.learn_streams(records);
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Limit(report)) => {
                self.apply_limit(now, &report);
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Load(runner, load)) => {
                self.coordinator.set_runner_load(now, &runner, load);
            }
            SessionEvent::FromHost(_, _, ToCoordinator::Suspects(records)) => {
                self.learn_suspects(records, RecordSource::Client);
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
            SessionEvent::CoordinatorUp(host, session, tx) => {
                self.session_opened(&host, session, tx);
            }
            SessionEvent::FromCoordinator(host, session, message) => {
                self.handle_coordinator_message(host, session, message);
            }
            SessionEvent::CoordinatorDown(host, session, end) => {
                if self.coordinator_client.is_current(session) {
                    self.coordinator_lost(end);
                    self.choose_coordinator();
                } else {
                    log::debug!("a former session with {host} has ended");
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
}

/// Encodes a message. Logs an error and returns `None` if that fails.
pub(super) fn encode(message: &ToHost) -> Option<Frame> {
    Frame::new(message).map_err(|e| log::error!("can't encode a message to a host: {e}")).ok()
}
