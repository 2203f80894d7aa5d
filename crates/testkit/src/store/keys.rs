//! The keys of the store with their history and leases.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use comfreyway_adapter::wire::Item;

/// Most items of one page.
pub(super) const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: i64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Keys {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: Vec<Item>,
    /// Changes up to this revision are no longer kept.
    discarded: u64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Keys {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |stored| stored.revision)
    }

    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) -> u64 {
        self.revision += 1;
        let stored = Stored { value, revision: self.revision, lease };
        self.history.push(item(key, &stored));
        self.items.insert(key.to_owned(), stored);
        self.revision
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let (key, revision) = (key.to_owned(), self.revision);
        self.history.push(Item { key, revision, tombstone: Some(true), value: None });
    }

    pub(super) fn range(&self, prefix: &str, after: &str) -> Vec<Item> {
        let found = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let rest = found.filter(|(key, _)| key.as_str() > after);
        rest.map(|(key, stored)| item(key, stored)).collect()
    }

    /// Changes after a revision; none if they are no longer kept.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Item>> {
        if after < self.discarded {
            return None;
        }
        let later = self.history.iter().filter(|change| change.revision > after);
        Some(later.filter(|change| change.key.starts_with(prefix)).cloned().collect())
    }

    pub(super) fn compact(&mut self) {
        self.discarded = self.revision;
        self.history.clear();
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, until: Instant::now() + ttl });
        self.next_lease
    }

    /// Renews a lease, or returns false if it has ended.
    pub(super) fn renew(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.until = Instant::now() + lease.ttl;
        true
    }

    pub(super) fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    pub(super) fn end(&mut self, id: i64) {
        self.leases.remove(&id);
        let owned = self.items.iter().filter(|(_, stored)| stored.lease == id);
        for key in owned.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.delete(&key);
        }
    }

    /// Ends the leases that were not renewed.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.until < now);
        for id in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end(id);
        }
    }
}

fn item(key: &str, stored: &Stored) -> Item {
    Item {
        key: key.to_owned(),
        value: Some(BASE64_STANDARD.encode(&stored.value)),
        revision: stored.revision,
        tombstone: None,
    }
}
