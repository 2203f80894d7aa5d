//! A lease of a store.

use std::{collections::BTreeSet, time::Duration};

/// A lease and the keys that are deleted when it ends.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) expires_at: Duration,
    pub(super) keys: BTreeSet<String>,
}

impl Lease {
    pub(super) fn new(ttl: Duration, now: Duration) -> Self {
        Self { ttl, expires_at: now + ttl, keys: BTreeSet::new() }
    }

    pub(super) fn renew(&mut self, now: Duration) {
        self.expires_at = now + self.ttl;
    }
}
