//! Faults of the store.

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreCall {
    /// Reads of a range.
    Range,
    /// Watches.
    Watch,
    /// Writes.
    Txn,
    /// Leases granted, renewed or ended.
    Lease,
}

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreOutage {
    /// It serves.
    #[default]
    None,
    /// It refuses every call; nothing was done.
    Busy,
    /// It refuses every call for its rate.
    OverRate,
    /// It does not answer.
    Silent,
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// How it fails.
    pub outage: StoreOutage,
    /// True if writes are done and their replies lost.
    pub lose_write_replies: bool,
}

impl StoreFaults {
    /// A store that fails this way.
    #[must_use]
    pub fn with_outage(outage: StoreOutage) -> Self {
        Self { outage, ..Self::default() }
    }
}
