//! Metrics of the traffic between daemons.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};

/// Counters of messages and bytes between daemons, per direction and kind.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    messages: Counter<u64>,
    bytes: Counter<u64>,
}

impl PeerMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            messages: counter("comfreyway_peer_messages", "Messages between daemons"),
            bytes: counter("comfreyway_peer_bytes", "Payload bytes between daemons"),
        }
    }

    pub(super) fn count(&self, sent: bool, kind: &'static str, bytes: usize) {
        let direction = if sent { "sent" } else { "received" };
        let attributes = [KeyValue::new("direction", direction), KeyValue::new("kind", kind)];
        self.messages.add(1, &attributes);
        self.bytes.add(bytes as u64, &attributes);
    }
}
