//! Phases of a process.

/// Phase of a process as the traffic path sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Refuses new requests and finishes the others.
    Stopping,
    /// Cuts what is left.
    Cutting,
}
