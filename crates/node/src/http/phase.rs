//! Phases of a process.

/// Phase of a process as the traffic path sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Refuses new requests and finishes the others.
    Draining,
    /// Cuts what is left.
    Aborting,
}
