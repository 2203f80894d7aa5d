//! Sessions between hosts, and network faults.

use comfreyway_core::{
    config::sync::{START_GRACE, SyncInput, SyncMessage},
    ids::HostName,
};
use rand::RngExt;

use crate::{
    host::Host,
    world::{HOSTS, Packet, World},
};

impl World {
    pub(crate) fn send(&mut self, from: usize, sent: Vec<(HostName, SyncMessage)>) {
        for (to, mut message) in sent {
            if matches!(message, SyncMessage::Delta(_)) && self.rng.random_ratio(1, 4) {
                message = SyncMessage::Snapshot(self.hosts[from].sync.accepted().clone());
            }
            if self.rng.random_ratio(1, 8) {
                self.packets.push(Packet { from, to: to.clone(), message: message.clone() });
            }
            self.packets.push(Packet { from, to, message });
        }
    }

    pub(crate) fn deliver(&mut self) {
        if !self.packets.is_empty() {
            let i = self.rng.random_range(0..self.packets.len());
            self.deliver_at(i);
        }
    }

    pub(crate) fn deliver_at(&mut self, i: usize) {
        let Packet { from, to, message } = self.packets.swap_remove(i);
        let Some(to) = self.hosts.iter().position(|host| host.name == to) else { return };
        if self.cut_links.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let from = self.hosts[from].name.clone();
        let input = SyncInput::Message { from, message };
        let sent = self.hosts[to].handle(self.now, input, &self.store);
        self.send(to, sent);
    }

    pub(crate) fn restart(&mut self, host: usize) {
        let name = self.hosts[host].name.clone();
        for other in (0..HOSTS).filter(|&other| other != host) {
            self.input(other, SyncInput::PeerDown(name.clone()));
        }
        self.packets.retain(|packet| packet.from != host && packet.to != name);
        self.now = self.now + START_GRACE;
        self.delayed_reads.retain(|(reader, _)| *reader != name);
        self.hosts[host] = Host::new(name, self.now);
        self.connect(host);
    }

    pub(crate) fn connect(&mut self, host: usize) {
        for other in (0..HOSTS).filter(|&other| other != host) {
            if !self.cut_links.contains(&(host.min(other), host.max(other))) {
                self.connect_pair(host, other);
            }
        }
    }

    pub(crate) fn connect_pair(&mut self, a: usize, b: usize) {
        let names = [self.hosts[a].name.clone(), self.hosts[b].name.clone()];
        let [first, second] = names;
        self.input(a, SyncInput::PeerUp(second));
        self.input(b, SyncInput::PeerUp(first));
    }

    pub(crate) fn toggle_link(&mut self, a: usize) {
        let b = (a + 1) % HOSTS;
        let pair = (a.min(b), a.max(b));
        if self.cut_links.remove(&pair) {
            self.connect_pair(a, b);
            return;
        }
        self.cut_links.insert(pair);
        let names = [self.hosts[a].name.clone(), self.hosts[b].name.clone()];
        let [first, second] = names;
        self.input(a, SyncInput::PeerDown(second));
        self.input(b, SyncInput::PeerDown(first));
    }
}
