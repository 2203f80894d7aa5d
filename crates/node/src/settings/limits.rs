//! Limits of one process.

use std::time::Duration;

use comfreyway_core::fleet::CallerMemoryLimits;

/// Limits of one process. Defaults and units are in [`KEYS`](super::KEYS).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory of the process, in bytes. Callers may make it hold half.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest total size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for receiving a complete request body.
    pub body_timeout: Duration,
    /// Timeout for connecting to a runner.
    pub connect_timeout: Duration,
    /// Longest time that a request waits to be dispatched.
    pub grant_timeout: Duration,
    /// Time without data from an upstream after which its response counts as
    /// broken.
    pub upstream_idle_timeout: Duration,
    /// Open caller connections per worker.
    pub max_connections: usize,
    /// Memory for recorded responses, in bytes.
    pub max_results_bytes: usize,
    /// Time for which a response is kept for repeats.
    pub result_ttl: Duration,
    /// Time after which a planned stop aborts the remaining requests.
    pub stop_timeout: Option<Duration>,
}

impl Limits {
    /// Returns what callers can make the process occupy.
    pub(crate) fn caller_memory(&self) -> CallerMemoryLimits {
        CallerMemoryLimits::of_process(self.memory_bytes, self.max_descriptors)
    }
}
