//! Sessions between the hosts: opening, closing and delivery of messages.

use comfreyway_core::{fleet::OpenOutcome, ids::HostId};

use crate::support::set_coordinator;

use super::{Session, ToCoordinator, ToHost, World};

impl World {
    /// The client host closes a session and uses its own coordinator.
    pub(super) fn close_at_host(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        let from = session.from;
        session.open_at_host = false;
        session.to_host.clear();
        session.to_coordinator.push_back(ToCoordinator::End);
        if self.hosts[from].session_ix == Some(number) {
            self.hosts[from].session_ix = None;
            self.use_own_coordinator(from);
        }
    }

    fn use_own_coordinator(&mut self, number: usize) {
        let (now, mut actions) = (self.now(), Vec::new());
        let host = &mut self.hosts[number];
        host.coordinator.local_host_joined(now, host.id.clone());
        set_coordinator(&mut host.client, now, None, &mut actions);
        self.carry_out(number, actions);
    }

    /// The coordinator closes a session.
    pub(super) fn close_at_coordinator(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        session.open_at_coordinator = false;
        session.to_coordinator.clear();
        session.to_host.push_back(ToHost::End);
        self.close_client_session(number);
    }

    fn close_client_session(&mut self, number: usize) {
        let Session { to, client_id, .. } = self.sessions[number].clone();
        if self.hosts[to].client_sessions.close(&client_id, number as u64) {
            self.remove_client(to, &client_id);
        }
    }

    fn remove_client(&mut self, to: usize, client_id: &HostId) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.hosts[to].coordinator.host_left(now, client_id, &mut replies);
        self.deliver_replies(to, replies);
    }

    fn uses_other_coordinator(&self, host: usize) -> bool {
        self.hosts[host].client.coordinator().is_some()
    }

    pub(super) fn deliver_to_coordinator(&mut self, number: usize) {
        let Some(message) = self.sessions[number].to_coordinator.pop_front() else { return };
        let Session { to, client_id, .. } = self.sessions[number].clone();
        let (now, mut replies) = (self.now(), Vec::new());
        match message {
            ToCoordinator::Hello => {
                match self.hosts[to].client_sessions.open(&client_id, number as u64, number) {
                    OpenOutcome::First => {}
                    OpenOutcome::Replaces => self.remove_client(to, &client_id),
                    OpenOutcome::Outdated => {
                        self.close_at_coordinator(number);
                        return;
                    }
                }
                if self.uses_other_coordinator(to) {
                    self.sessions[number].to_host.push_back(ToHost::Leaving);
                } else {
                    self.hosts[to].coordinator.host_joined(now, client_id);
                }
                self.sessions[number].to_host.push_back(ToHost::Pong);
            }
            ToCoordinator::Update(_) if self.uses_other_coordinator(to) => {}
            ToCoordinator::Update(update) => {
                if self.hosts[to].client_sessions.is_current(&client_id, number as u64) {
                    self.hosts[to].coordinator.handle_update(now, &client_id, update, &mut replies);
                    self.deliver_replies(to, replies);
                }
            }
            ToCoordinator::End => {
                self.sessions[number].open_at_coordinator = false;
                self.close_client_session(number);
            }
        }
    }

    pub(super) fn deliver_to_host(&mut self, number: usize) {
        let Some(message) = self.sessions[number].to_host.pop_front() else { return };
        let Session { from, coordinator_id: coordinator, .. } = self.sessions[number].clone();
        match message {
            ToHost::Pong => {
                if self.hosts[from].session_ix == Some(number) {
                    self.use_coordinator(from, coordinator);
                }
            }
            ToHost::Reply(reply) => {
                let mut actions = Vec::new();
                self.hosts[from].client.handle_reply(Some(&coordinator), reply, &mut actions);
                self.carry_out(from, actions);
            }
            ToHost::Leaving | ToHost::End => self.close_at_host(number),
        }
    }

    fn use_coordinator(&mut self, from: usize, coordinator: HostId) {
        if self.hosts[from].client.coordinator() == Some(&coordinator) {
            return;
        }
        let (now, mut actions, mut replies) = (self.now(), Vec::new(), Vec::new());
        set_coordinator(&mut self.hosts[from].client, now, Some(coordinator), &mut actions);
        self.carry_out(from, actions);
        let me = self.hosts[from].id.clone();
        self.hosts[from].coordinator.host_left(now, &me, &mut replies);
        self.deliver_replies(from, replies);
        for (_, session) in self.hosts[from].client_sessions.iter() {
            self.sessions[*session].to_host.push_back(ToHost::Leaving);
        }
    }
}
