//! How to reach the gateway.

use std::{net::SocketAddr, time::Duration};

/// Time limit of a call, unless set otherwise.
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// Longest silence of a watch, unless set otherwise.
const WATCH_SILENCE: Duration = Duration::from_secs(30);

/// How to reach the gateway.
#[derive(Clone, Debug)]
pub struct EtcdConfig {
    pub(super) endpoints: Vec<SocketAddr>,
    pub(super) time_limit: Duration,
    pub(super) watch_silence: Duration,
}

impl EtcdConfig {
    /// A gateway at these addresses, with the default limits.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self { endpoints, time_limit: TIME_LIMIT, watch_silence: WATCH_SILENCE }
    }

    /// Sets the time limit of each call.
    #[must_use]
    pub fn with_time_limit(mut self, limit: Duration) -> Self {
        self.time_limit = limit;
        self
    }

    /// Sets the time after which a silent watch ends with an error, since a
    /// connection that was cut without notice looks the same.
    #[must_use]
    pub fn with_watch_silence(mut self, limit: Duration) -> Self {
        self.watch_silence = limit;
        self
    }
}
