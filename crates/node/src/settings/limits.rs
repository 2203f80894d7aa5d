//! Limits of one process.

use std::time::Duration;

/// Limits of one process. The settings page gives each default and unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// Largest sum of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Time for a caller to send a whole body.
    pub body_time: Duration,
    /// Time to connect to a runner.
    pub connect_timeout: Duration,
    /// Longest time that a request waits to be dispatched.
    pub grant_waiting: Duration,
    /// Time without a byte from an upstream after which it counts as broken.
    pub upstream_idle: Duration,
    /// Open callers' connections per worker.
    pub connections: usize,
    /// Memory for kept answers, in bytes.
    pub results_bytes: usize,
    /// Time that an answer with an identity is kept.
    pub results_time: Duration,
    /// Time after which a planned stop cuts the streams that are left.
    pub stop_limit: Option<Duration>,
}
