//! A lease of a store.

use std::{collections::BTreeSet, time::Duration};

/// A lease and the keys that are deleted when it ends.
#[derive(Debug)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) lapses_at: Duration,
    pub(super) keys: BTreeSet<String>,
}

impl Lease {
    pub(super) fn new(ttl: Duration, now: Duration) -> Self {
        Self { ttl, lapses_at: now + ttl, keys: BTreeSet::new() }
    }

    pub(super) fn renew(&mut self, now: Duration) {
        self.lapses_at = now + self.ttl;
    }
}
