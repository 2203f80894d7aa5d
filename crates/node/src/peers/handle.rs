//! Links to the peers and the counters of their traffic.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use comfreyway_core::ids::{HostId, HostName};
use comfreyway_proto::peer::{Hello, PeerMessage, encode};
use tokio::sync::mpsc;

use super::{
    PeerEvent, PeerTraffic, PeersSettings, TrafficKey, counters::Counters, dial::spawn_dialer,
};

/// An encoded message in the queue of a session.
#[derive(Debug)]
pub(super) struct OutgoingMessage {
    pub(super) kind: &'static str,
    pub(super) buf: Vec<u8>,
}

#[derive(Debug)]
struct Link {
    host: HostId,
    address: SocketAddr,
    tx: mpsc::Sender<OutgoingMessage>,
}

/// Sends messages to peers. Cheap to clone; lives on the control thread.
#[derive(Clone, Debug)]
pub struct PeersHandle {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: PeersSettings,
    events: mpsc::Sender<PeerEvent>,
    links: RefCell<BTreeMap<HostName, Link>>,
    dialled_addresses: RefCell<BTreeSet<SocketAddr>>,
    accepted_sessions: RefCell<BTreeMap<HostName, u64>>,
    counters: RefCell<Counters>,
}

impl PeersHandle {
    pub(super) fn new(settings: PeersSettings, events: mpsc::Sender<PeerEvent>) -> Self {
        let shared = Shared {
            settings,
            events,
            links: RefCell::default(),
            dialled_addresses: RefCell::default(),
            accepted_sessions: RefCell::default(),
            counters: RefCell::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Queues a message. Returns false if there is no link to the peer, its queue
    /// is full, or the message can't be encoded. A full queue ends the link.
    pub fn send(&self, to: &HostName, message: &PeerMessage) -> bool {
        let mut links = self.shared.links.borrow_mut();
        let Some(link) = links.get(to) else { return false };
        let Ok(buf) = encode(message) else { return false };
        let outgoing = OutgoingMessage { kind: message.kind(), buf };
        let queued = link.tx.try_send(outgoing).is_ok();
        if !queued {
            links.remove(to);
        }
        queued
    }

    /// Keeps a session to an address until the process ends, unless the address is
    /// dialled already.
    pub fn dial(&self, address: SocketAddr) {
        if address == self.shared.settings.address {
            return;
        }
        if self.shared.dialled_addresses.borrow_mut().insert(address) {
            spawn_dialer(self.clone(), address);
        }
    }

    /// Returns the peers with a link, and their addresses.
    #[must_use]
    pub fn links(&self) -> Vec<(HostId, SocketAddr)> {
        let links = self.shared.links.borrow();
        links.values().map(|link| (link.host.clone(), link.address)).collect()
    }

    /// Returns the address of a peer with a link.
    #[must_use]
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.shared.links.borrow().get(host).map(|link| link.address)
    }

    /// Returns the traffic counted so far.
    #[must_use]
    pub fn traffic(&self) -> BTreeMap<TrafficKey, PeerTraffic> {
        self.shared.counters.borrow().snapshot()
    }

    pub(super) fn settings(&self) -> &PeersSettings {
        &self.shared.settings
    }

    pub(super) fn hello(&self) -> Hello {
        let settings = &self.shared.settings;
        Hello::new(settings.host.clone(), settings.address)
    }

    pub(super) fn count_message(&self, sent: bool, kind: &'static str, bytes: usize) {
        self.shared.counters.borrow_mut().count(sent, kind, bytes);
        if let Some(metrics) = &self.shared.settings.metrics {
            metrics.count(sent, kind, bytes);
        }
    }

    /// Removes a dialled address, so that it may be dialled again.
    pub(super) fn remove_dialled(&self, address: SocketAddr) {
        self.shared.dialled_addresses.borrow_mut().remove(&address);
    }

    /// Adds a link, replacing an earlier one to the same host.
    pub(super) fn add_link(&self, hello: &Hello, tx: mpsc::Sender<OutgoingMessage>) {
        let link = Link { host: hello.host.clone(), address: hello.address, tx };
        self.shared.links.borrow_mut().insert(hello.host.name.clone(), link);
    }

    /// Removes the link of a session that ended, unless it was replaced.
    pub(super) fn remove_link(&self, host: &HostId, tx: &mpsc::Sender<OutgoingMessage>) {
        let mut links = self.shared.links.borrow_mut();
        if links.get(&host.name).is_some_and(|link| link.tx.same_channel(tx)) {
            links.remove(&host.name);
        }
    }

    /// Returns the number of a newly accepted session, which replaces earlier
    /// sessions of the same host.
    pub(super) fn begin_accepted_session(&self, host: &HostName) -> u64 {
        let mut accepted = self.shared.accepted_sessions.borrow_mut();
        let number = accepted.entry(host.clone()).or_default();
        *number += 1;
        *number
    }

    pub(super) fn is_current_session(&self, host: &HostName, number: u64) -> bool {
        self.shared.accepted_sessions.borrow().get(host) == Some(&number)
    }

    /// Sends an event to the control thread; waits while its queue is full. Returns
    /// false if the control thread has ended.
    pub(super) async fn send_event(&self, event: PeerEvent) -> bool {
        self.shared.events.send(event).await.is_ok()
    }
}
