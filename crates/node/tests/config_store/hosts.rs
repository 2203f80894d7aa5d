//! Hosts in one process that send messages to each other.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use comfreyway_core::{
    config::{Change, ChangeId, Class, Edit, Element},
    ids::{HostName, Tier},
    request::Target,
};
use comfreyway_node::config::{ConfigActor, ConfigHandle, ConfigPeerEvent, ConfigSender};
use comfreyway_platform::KeyValue;
use comfreyway_proto::peer::{ConfigMessage, PeerMessage, decode, encode};

pub(crate) fn class(name: &str, tier: u8) -> Edit {
    let target = Target::Whole(Duration::from_secs(1));
    let class = Class { tier: Tier(tier), target, idempotent: true, cancellable: true };
    Edit::Set(Element::Class(name.parse().unwrap(), class))
}

pub(crate) fn change(base: u64, nonce: u64, edits: Vec<Edit>) -> Change {
    Change { id: ChangeId::new(base, nonce), author: "aigul".parse().unwrap(), edits }
}

pub(crate) fn name(i: usize) -> HostName {
    HostName::new(&format!("host-{i}")).unwrap()
}

/// All hosts of one test.
#[derive(Clone, Default)]
pub(crate) struct Hosts {
    running: Rc<RefCell<BTreeMap<HostName, ConfigHandle>>>,
}

struct HostSender {
    own_name: HostName,
    hosts: Hosts,
}

impl ConfigSender for HostSender {
    fn send(&self, to: &HostName, message: ConfigMessage) {
        let buf = encode(&PeerMessage::Config(message)).unwrap();
        let PeerMessage::Config(message) = decode(&buf).unwrap() else { panic!("other kind") };
        if let Some(peer) = self.hosts.running.borrow().get(to) {
            peer.peer_event(ConfigPeerEvent::Message { from: self.own_name.clone(), message });
        }
    }
}

impl Hosts {
    /// Starts a host and connects it with all running hosts.
    pub(crate) fn start(&self, i: usize, kv: Rc<dyn KeyValue>) -> ConfigHandle {
        let own_name = name(i);
        let sender = Rc::new(HostSender { own_name: own_name.clone(), hosts: self.clone() });
        let handle = ConfigActor::start_on_control(own_name.clone(), kv, sender);
        for (other, peer) in self.running.borrow().iter() {
            peer.peer_event(ConfigPeerEvent::Up(own_name.clone()));
            handle.peer_event(ConfigPeerEvent::Up(other.clone()));
        }
        self.running.borrow_mut().insert(own_name, handle.clone());
        handle
    }

    /// Stops a host and reports it to the others as down.
    pub(crate) fn kill(&self, i: usize) {
        let own_name = name(i);
        let killed = self.running.borrow_mut().remove(&own_name).unwrap();
        killed.stop();
        self.report_down(&own_name);
    }

    fn report_down(&self, host: &HostName) {
        for peer in self.running.borrow().values() {
            peer.peer_event(ConfigPeerEvent::Down(host.clone()));
        }
    }

    pub(crate) fn get(&self, i: usize) -> ConfigHandle {
        self.running.borrow()[&name(i)].clone()
    }

    pub(crate) fn all(&self) -> Vec<ConfigHandle> {
        self.running.borrow().values().cloned().collect()
    }
}

/// Waits until the host has at least this version in force.
pub(crate) async fn wait_for(handle: &ConfigHandle, version: u64) {
    let mut document = handle.document();
    document.wait_for(|document| document.version >= version).await.unwrap();
}
