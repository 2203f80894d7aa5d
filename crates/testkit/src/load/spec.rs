//! Description of a load.

use std::time::Duration;

use super::RequestTemplate;

/// When requests start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Closed loop: each caller sends its next request when the last one ends.
    Closed {
        /// Number of callers.
        callers: usize,
    },
    /// Open loop: requests start at a fixed rate, also while earlier ones run.
    Open {
        /// Requests per second.
        per_second: f64,
    },
}

/// Description of a load.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Request to send.
    pub request: RequestTemplate,
    /// When requests start.
    pub pace: Pace,
    /// Threads that send the requests.
    pub threads: usize,
    /// Time at the start in which nothing is counted.
    pub warm_up: Duration,
    /// Length of the counted time.
    pub duration: Duration,
}
