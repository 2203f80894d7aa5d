//! What load to make.

use std::time::Duration;

use super::RequestTemplate;

/// How requests follow each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Each of this many callers asks again as soon as it has its answer.
    Closed {
        /// Number of callers.
        callers: usize,
    },
    /// Requests start at this rate, whether or not earlier ones are answered.
    Open {
        /// Requests per second.
        per_second: f64,
    },
}

/// What load to make.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The request.
    pub request: RequestTemplate,
    /// How requests follow each other.
    pub pace: Pace,
    /// Threads that make the load.
    pub threads: usize,
    /// Time that is not counted at the start.
    pub warm_up: Duration,
    /// Time that is counted.
    pub duration: Duration,
}
