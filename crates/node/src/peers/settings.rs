//! Settings of the sessions between daemons.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::ids::HostId;
use tokio::sync::mpsc::UnboundedSender;

use crate::settings::Secret;

use super::{PeerMetrics, ResultConnection};

/// Settings of the sessions between daemons.
#[derive(Clone, Debug)]
pub struct PeersSettings {
    /// This host in its present run.
    pub host: HostId,
    /// Address at which this host accepts peers, as peers reach it.
    pub address: SocketAddr,
    /// The secret that peers share.
    pub secret: Secret,
    /// Addresses to dial from the start.
    pub static_peers: Vec<SocketAddr>,
    /// Time between two heartbeats on a session.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as down.
    pub silence: Duration,
    /// Time limit on connecting and greeting.
    pub connect_timeout: Duration,
    /// Most messages that wait for one peer.
    pub queue: usize,
    /// Where calls for kept answers go; none refuses them.
    pub results: Option<UnboundedSender<ResultConnection>>,
    /// Metrics that show the traffic, if any.
    pub metrics: Option<PeerMetrics>,
}

impl PeersSettings {
    /// Default time between two heartbeats.
    pub const HEARTBEAT: Duration = Duration::from_millis(250);
    /// Default silence after which a peer counts as down.
    pub const SILENCE: Duration = Duration::from_millis(1_000);
    /// Default time limit on connecting and greeting.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Default limit on the messages that wait for one peer.
    pub const QUEUE: usize = 16_384;

    /// Settings with default times and limits and no static peers.
    #[must_use]
    pub fn new(host: HostId, address: SocketAddr, secret: Secret) -> Self {
        Self {
            host,
            address,
            secret,
            static_peers: Vec::new(),
            heartbeat: Self::HEARTBEAT,
            silence: Self::SILENCE,
            connect_timeout: Self::CONNECT_TIMEOUT,
            queue: Self::QUEUE,
            results: None,
            metrics: None,
        }
    }

    /// Replaces the addresses to dial from the start.
    #[must_use]
    pub fn with_static_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.static_peers = peers;
        self
    }

    /// Passes calls for kept answers on.
    #[must_use]
    pub fn with_result_connections(mut self, results: UnboundedSender<ResultConnection>) -> Self {
        self.results = Some(results);
        self
    }

    /// Shows the traffic in metrics.
    #[must_use]
    pub fn with_metrics(mut self, metrics: PeerMetrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Replaces the heartbeat and the silence after which a peer is down.
    #[must_use]
    pub fn with_heartbeat(mut self, heartbeat: Duration, silence: Duration) -> Self {
        self.heartbeat = heartbeat;
        self.silence = silence;
        self
    }
}
