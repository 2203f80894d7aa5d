//! Sessions with the peers and the counters of their traffic.

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
struct PeerSession {
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
    sessions: RefCell<BTreeMap<HostName, PeerSession>>,
    dialled_addresses: RefCell<BTreeSet<SocketAddr>>,
    accepted_sessions: RefCell<BTreeMap<HostName, u64>>,
    counters: RefCell<Counters>,
}

impl PeersHandle {
    pub(super) fn new(settings: PeersSettings, events: mpsc::Sender<PeerEvent>) -> Self {
        let shared = Shared {
            settings,
            events,
            sessions: RefCell::default(),
            dialled_addresses: RefCell::default(),
            accepted_sessions: RefCell::default(),
            counters: RefCell::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Queues a message. Returns false if there is no session with the peer, its
    /// queue is full, or the message can't be encoded. A full queue ends the session.
    pub fn send(&self, to: &HostName, message: &PeerMessage) -> bool {
        let mut sessions = self.shared.sessions.borrow_mut();
        let Some(session) = sessions.get(to) else { return false };
        let Ok(buf) = encode(message) else { return false };
        let outgoing = OutgoingMessage { kind: message.kind(), buf };
        let queued = session.tx.try_send(outgoing).is_ok();
        if !queued {
            sessions.remove(to);
        }
        queued
    }

    /// Keeps a session with an address until the process ends, unless the address is
    /// dialled already.
    pub fn dial(&self, address: SocketAddr) {
        if address == self.shared.settings.address {
            return;
        }
        if self.shared.dialled_addresses.borrow_mut().insert(address) {
            spawn_dialer(self.clone(), address);
        }
    }

    /// Returns the peers with a session, and their addresses.
    #[must_use]
    pub fn connected_peers(&self) -> Vec<(HostId, SocketAddr)> {
        let sessions = self.shared.sessions.borrow();
        sessions.values().map(|session| (session.host.clone(), session.address)).collect()
    }

    /// Returns the address of a peer with a session.
    #[must_use]
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.shared.sessions.borrow().get(host).map(|session| session.address)
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

    /// Adds a session, replacing an earlier one with the same host.
    pub(super) fn add_session(&self, hello: &Hello, tx: mpsc::Sender<OutgoingMessage>) {
        let session = PeerSession { host: hello.host.clone(), address: hello.address, tx };
        self.shared.sessions.borrow_mut().insert(hello.host.name.clone(), session);
    }

    /// Removes a session that ended, unless it was replaced.
    pub(super) fn remove_session(&self, host: &HostId, tx: &mpsc::Sender<OutgoingMessage>) {
        let mut sessions = self.shared.sessions.borrow_mut();
        if sessions.get(&host.name).is_some_and(|session| session.tx.same_channel(tx)) {
            sessions.remove(&host.name);
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
