//! In-memory keys, revisions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{CasOutcome, KvEvent, LeaseId, PlatformError, Revision, Versioned};

use super::{history::History, lease::Lease};

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

/// In-memory keys, revisions and leases. Callers pass in the current time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_platform::{CasOutcome, Revision, embedded::MemoryStore};
///
/// let mut store = MemoryStore::new();
/// let now = Duration::ZERO;
/// let first = store.compare_and_swap("a", Revision(0), b"1".to_vec(), None, now).unwrap();
/// assert_eq!(first, CasOutcome::Written(Revision(1)));
/// assert_eq!(store.get("a", now).unwrap().value, b"1");
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    history: History,
    revision: Revision,
    last_lease: i64,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reads one key.
    pub fn get(&mut self, key: &str, now: Duration) -> Option<Versioned> {
        self.expire(now);
        self.read(key)
    }

    /// Reads all keys that start with `prefix`, in key order.
    pub fn list(&mut self, prefix: &str, now: Duration) -> Vec<Versioned> {
        self.expire(now);
        let from = self.entries.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(k, e)| versioned(k, e)).collect()
    }

    /// Writes `value` if the key is at revision `expected`.
    ///
    /// # Errors
    ///
    /// Fails if the lease is unknown or has expired.
    pub fn compare_and_swap(
        &mut self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        now: Duration,
    ) -> Result<CasOutcome, PlatformError> {
        self.expire(now);
        let current = self.read(key);
        if current.as_ref().map_or(Revision(0), |p| p.revision) != expected {
            return Ok(CasOutcome::Mismatch(current));
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(PlatformError::LeaseExpired);
        }
        Ok(CasOutcome::Written(self.put(key, value, lease)))
    }

    /// Deletes the key if it is at revision `expected`.
    pub fn compare_and_delete(
        &mut self,
        key: &str,
        expected: Revision,
        now: Duration,
    ) -> CasOutcome {
        self.expire(now);
        let current = self.read(key);
        if current.as_ref().map_or(Revision(0), |p| p.revision) != expected {
            return CasOutcome::Mismatch(current);
        }
        self.delete(key);
        CasOutcome::Written(self.revision)
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl: Duration, now: Duration) -> LeaseId {
        self.expire(now);
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        self.leases.insert(id, Lease::new(ttl, now));
        id
    }

    /// Renews a lease and returns its remaining time.
    ///
    /// # Errors
    ///
    /// Fails if the lease is unknown or has expired.
    pub fn renew_lease(&mut self, id: LeaseId, now: Duration) -> Result<Duration, PlatformError> {
        self.expire(now);
        let lease = self.leases.get_mut(&id).ok_or(PlatformError::LeaseExpired)?;
        lease.renew(now);
        Ok(lease.ttl)
    }

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the lease is unknown or has expired.
    pub fn revoke_lease(&mut self, id: LeaseId, now: Duration) -> Result<(), PlatformError> {
        self.expire(now);
        self.remove_lease(id).ok_or(PlatformError::LeaseExpired)
    }

    /// Returns the changes after revision `after` to keys that start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if some of them are no longer retained, or the revision is higher than
    /// that of the latest change.
    pub fn changes(
        &mut self,
        prefix: &str,
        after: Revision,
        now: Duration,
    ) -> Result<Vec<KvEvent>, PlatformError> {
        self.expire(now);
        let compacted = || PlatformError::NotDone("the changes have been compacted".to_owned());
        if after > self.revision {
            return Err(PlatformError::NotDone("the revision does not exist".to_owned()));
        }
        self.history.after(prefix, after).ok_or_else(compacted)
    }

    /// Drops the retained changes. A watch from an earlier revision then fails.
    pub fn compact(&mut self) {
        self.history.compact(self.revision);
    }

    /// Returns true if the lease exists and has not expired.
    pub fn has_lease(&mut self, id: LeaseId, now: Duration) -> bool {
        self.expire(now);
        self.leases.contains_key(&id)
    }

    /// Returns the earliest time at which a lease expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Removes expired leases and their keys. Returns true if a key was
    /// deleted.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.revision;
        let mut expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(&id, lease)| (lease.expires_at, id))
            .collect();
        expired.sort_unstable();
        for (_, id) in expired {
            self.remove_lease(id);
        }
        self.revision != before
    }

    fn remove_lease(&mut self, id: LeaseId) -> Option<()> {
        let lease = self.leases.remove(&id)?;
        for key in &lease.keys {
            self.delete(key);
        }
        Some(())
    }

    fn read(&self, key: &str) -> Option<Versioned> {
        self.entries.get(key).map(|entry| versioned(key, entry))
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> Revision {
        self.revision.0 += 1;
        self.detach_lease(key);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        let entry = Entry { value, revision: self.revision, lease };
        self.history.push(KvEvent::Put(versioned(key, &entry)));
        self.entries.insert(key.to_owned(), entry);
        self.revision
    }

    fn delete(&mut self, key: &str) {
        self.detach_lease(key);
        if self.entries.remove(key).is_none() {
            return;
        }
        self.revision.0 += 1;
        self.history.push(KvEvent::Delete { key: key.to_owned(), revision: self.revision });
    }

    fn detach_lease(&mut self, key: &str) {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }
}

fn versioned(key: &str, entry: &Entry) -> Versioned {
    Versioned { key: key.to_owned(), value: entry.value.clone(), revision: entry.revision }
}
