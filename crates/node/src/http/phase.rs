//! Phases of a process.

/// Phase of a process with regard to callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Refuses new requests and completes those in progress.
    Draining,
    /// Aborts the requests that are left.
    Aborting,
}
