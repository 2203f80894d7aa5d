//! Counters of the traffic between daemons, per direction and kind of message.

use std::collections::BTreeMap;

/// Direction and kind of counted messages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TrafficKey {
    /// True for messages that this host sent.
    pub sent: bool,
    /// Kind of the message; `heartbeat` and `malformed` besides the kinds of
    /// [`comfreyway_proto::peer::PeerMessage`].
    pub kind: &'static str,
}

/// Number and size of the messages of one kind and direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Number of messages.
    pub messages: u64,
    /// Total bytes of their payloads.
    pub bytes: u64,
}

/// All counters of one host.
#[derive(Debug, Default)]
pub(super) struct Counters(BTreeMap<TrafficKey, PeerTraffic>);

impl Counters {
    pub(super) fn count(&mut self, sent: bool, kind: &'static str, bytes: usize) {
        let traffic = self.0.entry(TrafficKey { sent, kind }).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    pub(super) fn snapshot(&self) -> BTreeMap<TrafficKey, PeerTraffic> {
        self.0.clone()
    }
}
