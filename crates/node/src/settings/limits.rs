//! Limits of one process.

use std::time::Duration;

/// Limits of one process. The settings page gives each default and unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest sum of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Time for a caller to send a whole body.
    pub body_timeout: Duration,
    /// Time to connect to a runner.
    pub connect_timeout: Duration,
    /// Longest time that a request waits to be dispatched.
    pub grant_timeout: Duration,
    /// Time without a byte from an upstream after which it counts as broken.
    pub upstream_idle_timeout: Duration,
    /// Open callers' connections per worker.
    pub max_connections: usize,
    /// Memory for kept answers, in bytes.
    pub max_results_bytes: usize,
    /// Time that an answer with an identity is kept.
    pub result_ttl: Duration,
    /// Time after which a planned stop cuts the streams that are left.
    pub stop_timeout: Option<Duration>,
}
