//! Counters of calls by kind.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A read.
    Range,
    /// A conditional write.
    Txn,
    /// A new lease.
    Grant,
    /// A renewal of a lease.
    KeepAlive,
    /// A revocation of a lease.
    Revoke,
    /// A new watch.
    Watch,
}

impl CallKind {
    /// Returns true if the call counts as a write.
    #[must_use]
    pub fn is_write(self) -> bool {
        matches!(self, Self::Txn | Self::Grant | Self::KeepAlive | Self::Revoke)
    }
}

/// Number of calls by kind, including refused ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads.
    pub range: u64,
    /// Conditional writes.
    pub txn: u64,
    /// New leases.
    pub grant: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Revocations of leases.
    pub revoke: u64,
    /// New watches.
    pub watch: u64,
    /// Watches that are waiting now.
    pub waiting_watches: i64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    calls: [AtomicU64; 6],
    waiting: AtomicI64,
}

impl Counters {
    pub(super) fn count(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn watch_started(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn watch_ended(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn read(&self) -> CallCounts {
        let of = |kind: CallKind| self.calls[kind as usize].load(Ordering::Relaxed);
        CallCounts {
            range: of(CallKind::Range),
            txn: of(CallKind::Txn),
            grant: of(CallKind::Grant),
            keep_alive: of(CallKind::KeepAlive),
            revoke: of(CallKind::Revoke),
            watch: of(CallKind::Watch),
            waiting_watches: self.waiting.load(Ordering::Relaxed),
        }
    }
}
