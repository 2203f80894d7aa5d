//! Settings of the sessions between daemons.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::ids::HostId;
use tokio::sync::mpsc::UnboundedSender;

use crate::settings::Secret;

use super::{PeerMetrics, ResultConnection};

/// Settings of the sessions between daemons.
#[derive(Clone, Debug)]
pub struct PeersSettings {
    /// This host with its incarnation.
    pub host: HostId,
    /// Address at which peers reach this host.
    pub address: SocketAddr,
    /// The secret that peers share.
    pub secret: Secret,
    /// Addresses to dial at the start.
    pub static_peers: Vec<SocketAddr>,
    /// Time between two heartbeats on a session.
    pub heartbeat_interval: Duration,
    /// Time without a frame from a peer after which it counts as down.
    pub heartbeat_timeout: Duration,
    /// Timeout for connecting and for the hello message.
    pub connect_timeout: Duration,
    /// Capacity of the queue of messages to one peer.
    pub max_queued_messages: usize,
    /// Channel for connections that read recorded responses; none closes them.
    pub result_connections: Option<UnboundedSender<ResultConnection>>,
    /// Metrics of the traffic, if any.
    pub metrics: Option<PeerMetrics>,
}

impl PeersSettings {
    /// Default time between two heartbeats.
    pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
    /// Default time without a frame after which a peer counts as down.
    pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Default timeout for connecting and for the hello message.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Default capacity of the queue of messages to one peer.
    pub const MAX_QUEUED_MESSAGES: usize = 16_384;

    /// Creates settings with default times and limits and no static peers.
    #[must_use]
    pub fn new(host: HostId, address: SocketAddr, secret: Secret) -> Self {
        Self {
            host,
            address,
            secret,
            static_peers: Vec::new(),
            heartbeat_interval: Self::HEARTBEAT_INTERVAL,
            heartbeat_timeout: Self::HEARTBEAT_TIMEOUT,
            connect_timeout: Self::CONNECT_TIMEOUT,
            max_queued_messages: Self::MAX_QUEUED_MESSAGES,
            result_connections: None,
            metrics: None,
        }
    }

    /// Replaces the addresses to dial at the start.
    #[must_use]
    pub fn with_static_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.static_peers = peers;
        self
    }

    /// Passes connections that read recorded responses to `connections`.
    #[must_use]
    pub fn with_result_connections(
        mut self,
        connections: UnboundedSender<ResultConnection>,
    ) -> Self {
        self.result_connections = Some(connections);
        self
    }

    /// Counts the traffic in metrics.
    #[must_use]
    pub fn with_metrics(mut self, metrics: PeerMetrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Replaces the heartbeat interval and the time without a frame after which a
    /// peer counts as down.
    #[must_use]
    pub fn with_heartbeat(mut self, interval: Duration, timeout: Duration) -> Self {
        self.heartbeat_interval = interval;
        self.heartbeat_timeout = timeout;
        self
    }
}
