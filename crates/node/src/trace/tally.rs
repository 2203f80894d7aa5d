//! Outcome counts of one class.

/// Outcome counts of one class on this host since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassTally {
    /// Requests with a complete response.
    pub answered: u64,
    /// Answered requests whose first byte, or whole response, arrived within
    /// the target.
    pub in_target: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
}
