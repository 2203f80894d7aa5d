//! Settings of one pool owner.

use std::time::Duration;

use crate::ids::{Epoch, PoolId};

/// Settings of one pool owner.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The pool.
    pub pool: PoolId,
    /// Epoch of this owner, included in every grant.
    pub epoch: Epoch,
    /// Lifetime of a grant at the entry.
    pub grant_lifetime: Duration,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum total size of the bodies of waiting requests over all entries,
    /// in bytes.
    pub max_waiting_bytes: u64,
    /// Work by which one workspace may get ahead of the other workspaces of its
    /// tier, in prefill-token equivalents.
    pub share_window: u64,
}

impl PoolSettings {
    /// Default lifetime of a grant.
    pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);
    /// Default limit on the number of waiting requests.
    pub const MAX_WAITING: usize = 100_000;
    /// Default limit on the bytes of the bodies of waiting requests.
    pub const MAX_WAITING_BYTES: u64 = 4 << 30;
    /// Default work by which one workspace may get ahead.
    pub const SHARE_WINDOW: u64 = 200_000;

    /// Creates settings with default limits.
    #[must_use]
    pub fn new(pool: PoolId, epoch: Epoch) -> Self {
        Self {
            pool,
            epoch,
            grant_lifetime: Self::GRANT_LIFETIME,
            max_waiting: Self::MAX_WAITING,
            max_waiting_bytes: Self::MAX_WAITING_BYTES,
            share_window: Self::SHARE_WINDOW,
        }
    }

    /// Sets the lifetime of a grant.
    #[must_use]
    pub fn with_grant_lifetime(mut self, lifetime: Duration) -> Self {
        self.grant_lifetime = lifetime;
        self
    }

    /// Sets the limits on waiting requests.
    #[must_use]
    pub fn with_max_waiting(mut self, count: usize, bytes: u64) -> Self {
        self.max_waiting = count;
        self.max_waiting_bytes = bytes;
        self
    }

    /// Sets the work by which one workspace may get ahead.
    #[must_use]
    pub fn with_share_window(mut self, work: u64) -> Self {
        self.share_window = work;
        self
    }
}
