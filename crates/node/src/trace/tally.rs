//! Outcomes of one class.

/// Outcomes of one class on this host since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassTally {
    /// Requests answered whole.
    pub answered: u64,
    /// Those of them whose first byte, or whole answer, came within the target.
    pub in_target: u64,
    /// Requests not run.
    pub not_run: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
}
