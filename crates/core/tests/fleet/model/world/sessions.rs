//! Sessions between the hosts: how they begin, end, and carry messages.

use comfreyway_core::{fleet::OpenOutcome, ids::HostId};

use super::{Down, Session, Up, World};

impl World {
    /// The host that asks gives a session up, and decides by itself.
    pub(super) fn host_drops(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        let from = session.from;
        session.from_holds = false;
        session.down.clear();
        session.up.push_back(Up::End);
        if self.hosts[from].link == Some(number) {
            self.hosts[from].link = None;
            self.follow_own(from);
        }
    }

    fn follow_own(&mut self, number: usize) {
        let (now, mut actions) = (self.now(), Vec::new());
        let host = &mut self.hosts[number];
        host.coordinator.local_host_joined(now, host.id.clone());
        host.desk.set_coordinator(now, None, &mut actions);
        self.carry_out(number, actions);
    }

    /// The coordinator hears nothing of a host any more.
    pub(super) fn coordinator_drops(&mut self, number: usize) {
        let session = &mut self.sessions[number];
        session.to_holds = false;
        session.up.clear();
        session.down.push_back(Down::End);
        self.host_left(number);
    }

    fn host_left(&mut self, number: usize) {
        let Session { to, asks, .. } = self.sessions[number].clone();
        if self.hosts[to].asking.close(&asks, number as u64) {
            self.forget(to, &asks);
        }
    }

    fn forget(&mut self, to: usize, asks: &HostId) {
        let (now, mut tells) = (self.now(), Vec::new());
        self.hosts[to].coordinator.host_left(now, asks, &mut tells);
        self.pass(to, tells);
    }

    fn follows_other(&self, host: usize) -> bool {
        self.hosts[host].desk.coordinator().is_some()
    }

    pub(super) fn deliver_up(&mut self, number: usize) {
        let Some(message) = self.sessions[number].up.pop_front() else { return };
        let Session { to, asks, .. } = self.sessions[number].clone();
        let (now, mut tells) = (self.now(), Vec::new());
        match message {
            Up::Hello => {
                match self.hosts[to].asking.open(&asks, number as u64, number) {
                    OpenOutcome::First => {}
                    OpenOutcome::Replaces => self.forget(to, &asks),
                    OpenOutcome::Outdated => {
                        self.coordinator_drops(number);
                        return;
                    }
                }
                if self.follows_other(to) {
                    self.sessions[number].down.push_back(Down::Leaving);
                } else {
                    self.hosts[to].coordinator.host_joined(now, asks);
                }
                self.sessions[number].down.push_back(Down::Pong);
            }
            Up::Ask(_) if self.follows_other(to) => {}
            Up::Ask(ask) => {
                if self.hosts[to].asking.is_current(&asks, number as u64) {
                    self.hosts[to].coordinator.handle_update(now, &asks, ask, &mut tells);
                    self.pass(to, tells);
                }
            }
            Up::End => {
                self.sessions[number].to_holds = false;
                self.host_left(number);
            }
        }
    }

    pub(super) fn deliver_down(&mut self, number: usize) {
        let Some(message) = self.sessions[number].down.pop_front() else { return };
        let Session { from, asked: coordinator, .. } = self.sessions[number].clone();
        match message {
            Down::Pong => {
                if self.hosts[from].link == Some(number) {
                    self.follow_other(from, coordinator);
                }
            }
            Down::Tell(tell) => {
                let mut actions = Vec::new();
                self.hosts[from].desk.handle_reply(Some(&coordinator), tell, &mut actions);
                self.carry_out(from, actions);
            }
            Down::Leaving | Down::End => self.host_drops(number),
        }
    }

    fn follow_other(&mut self, from: usize, coordinator: HostId) {
        if self.hosts[from].desk.coordinator() == Some(&coordinator) {
            return;
        }
        let (now, mut actions, mut tells) = (self.now(), Vec::new(), Vec::new());
        self.hosts[from].desk.set_coordinator(now, Some(coordinator), &mut actions);
        self.carry_out(from, actions);
        let me = self.hosts[from].id.clone();
        self.hosts[from].coordinator.host_left(now, &me, &mut tells);
        self.pass(from, tells);
        for (_, session) in self.hosts[from].asking.iter() {
            self.sessions[*session].down.push_back(Down::Leaving);
        }
    }
}
