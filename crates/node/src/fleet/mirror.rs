//! This host's copy of the store, from which it sends changes to client hosts.
//!
//! Every host has read the store once, so a client host is sent only what
//! changed since: all entries of a store with thousands of runners, sent to
//! hundreds of hosts at once, would occupy a link for longer than a coordinator
//! may be silent.

use std::collections::{BTreeMap, BTreeSet};

use comfreyway_platform::{KvEvent, Revision, Versioned};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Maximum number of recorded deletions: several times the number of runners
/// that are replaced while a host is cut off, at about a hundred bytes each.
const MAX_DELETIONS: usize = 4_096;

/// Maximum number of changes in one message. A thousand runner entries are some
/// 300 KB, which a link of 10 Mbit/s carries within half a coordinator's
/// maximum silence.
const MAX_CHANGES_PER_MESSAGE: usize = 1_000;

/// A key and its value, as sent to another host. All values of the store that
/// matter here are text; any other is sent empty, and the receiver can't parse
/// it either.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MirroredItem {
    #[serde(rename = "k")]
    key: String,
    /// `None` if the key was deleted.
    #[serde(rename = "v")]
    value: Option<String>,
    #[serde(rename = "r")]
    revision: u64,
}

impl From<&Versioned> for MirroredItem {
    fn from(item: &Versioned) -> Self {
        let value = String::from_utf8(item.value.clone()).unwrap_or_default();
        Self { key: item.key.clone(), value: Some(value), revision: item.revision.0 }
    }
}

impl From<&KvEvent> for MirroredItem {
    fn from(event: &KvEvent) -> Self {
        match event {
            KvEvent::Put(item) => item.into(),
            KvEvent::Delete { key, revision } => {
                Self { key: key.clone(), value: None, revision: revision.0 }
            }
        }
    }
}

impl From<MirroredItem> for KvEvent {
    fn from(item: MirroredItem) -> Self {
        let (key, revision) = (item.key, Revision(item.revision));
        match item.value {
            Some(value) => Self::Put(Versioned { key, value: value.into_bytes(), revision }),
            None => Self::Delete { key, revision },
        }
    }
}

/// Changes for a host that knows all changes up to an earlier revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeSet {
    #[serde(rename = "i")]
    items: Vec<MirroredItem>,
    /// Revision that the receiver must know already.
    #[serde(rename = "f")]
    base: u64,
    /// Revision that the receiver knows afterwards.
    #[serde(rename = "t")]
    revision: u64,
}

impl ChangeSet {
    pub(super) fn new(events: &[KvEvent], base: Revision, revision: Revision) -> Self {
        let items = events.iter().map(MirroredItem::from).collect();
        Self { items, base: base.0, revision: revision.0 }
    }

    pub(super) fn into_events(self) -> (Vec<KvEvent>, Revision) {
        (self.items.into_iter().map(KvEvent::from).collect(), Revision(self.revision))
    }
}

/// The end of a sync.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncEnd {
    /// Fingerprints of all keys, if the changes lack some deletions: the
    /// receiver deletes every other key.
    #[serde(rename = "k")]
    keys: Option<Vec<u64>>,
    #[serde(rename = "f")]
    base: u64,
    #[serde(rename = "t")]
    revision: u64,
}

impl SyncEnd {
    /// Returns the revision up to which the receiver then knows all changes.
    pub(super) fn revision(&self) -> Revision {
        Revision(self.revision)
    }
}

/// The messages of a sync: the changes in their order, and the end.
#[derive(Debug, PartialEq)]
pub(super) struct SyncMessages {
    pub(super) changes: Vec<ChangeSet>,
    pub(super) end: SyncEnd,
}

/// The entries of the store, as far as this host knows them.
#[derive(Debug, Default)]
pub(super) struct StoreMirror {
    items: BTreeMap<String, Versioned>,
    revision: Revision,
    /// Deleted keys by the revision of the deletion, or a later one.
    deletions: BTreeSet<(u64, String)>,
    /// Revision from which on all deletions are recorded.
    complete_from: Revision,
    /// Last revision that was known of the era before.
    last_of_former_era: Revision,
}

impl StoreMirror {
    /// Returns the revision up to which all changes are known.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns true if the event is newer than what is known of its key.
    pub(super) fn is_newer(&self, event: &KvEvent) -> bool {
        let newer = |item: &Versioned| event.revision() > item.revision;
        event.revision() > self.revision && self.items.get(event.key()).is_none_or(newer)
    }

    /// Replaces all entries with a listing. Keys that were created and deleted
    /// since the last known change stay unknown, so the deletions are complete
    /// only from this revision on.
    pub(super) fn replace(&mut self, items: &[Versioned], revision: Revision) {
        let former = std::mem::take(&mut self.items);
        let new_era = revision.era() > self.revision.era();
        if new_era {
            self.last_of_former_era = self.revision;
        }
        // The client hosts know the values of the era before. Only those that differ
        // are sent to them.
        let kept = |item: &Versioned| {
            let known = former.get(&item.key).filter(|known| new_era && known.value == item.value);
            known.unwrap_or(item).clone()
        };
        self.items = items.iter().map(|item| (item.key.clone(), kept(item))).collect();
        self.deletions.clear();
        self.complete_from = revision;
        self.revision = revision;
    }

    /// Applies all changes up to revision `up_to`.
    pub(super) fn apply(&mut self, events: &[KvEvent], up_to: Revision) {
        for event in events {
            match event {
                KvEvent::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                KvEvent::Delete { key, revision } => {
                    self.items.remove(key);
                    self.deletions.insert((revision.0, key.clone()));
                }
            }
        }
        while self.deletions.len() > MAX_DELETIONS {
            if let Some((revision, _)) = self.deletions.pop_first() {
                self.complete_from = self.complete_from.max(Revision(revision));
            }
        }
        self.revision = self.revision.max(up_to);
    }

    /// Returns the value of a key.
    pub(super) fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// Returns the changes after revision `from`.
    pub(super) fn changes_since(&self, from: Revision) -> SyncMessages {
        if from.era() < self.revision.era() && from > self.last_of_former_era {
            return self.changes_of_new_era(from);
        }
        let keys = (from < self.complete_from)
            .then(|| self.items.keys().map(|key| fingerprint(key)).collect());
        let put = self.items.values().filter(|item| item.revision > from);
        let mut changes: Vec<_> = put.map(MirroredItem::from).collect();
        let deleted = self.deletions.range((from.0 + 1, String::new())..);
        let deleted = deleted.filter(|(_, key)| !self.items.contains_key(key));
        changes.extend(deleted.map(|(revision, key)| MirroredItem {
            key: key.clone(),
            value: None,
            revision: *revision,
        }));
        changes.sort_by_key(|item| item.revision);
        let mut base = from.0;
        let changes = changes.chunks(MAX_CHANGES_PER_MESSAGE).map(|chunk| {
            // A host that received only the first changes must not skip earlier
            // deletions.
            let revision =
                if keys.is_some() { from.0 } else { chunk.last().map_or(0, |i| i.revision) };
            ChangeSet {
                items: chunk.to_vec(),
                base: std::mem::replace(&mut base, revision),
                revision,
            }
        });
        let changes = changes.collect();
        SyncMessages { changes, end: SyncEnd { keys, base, revision: self.revision.0 } }
    }

    /// Returns all entries, for a host that may know changes of the era before that
    /// were lost and never known here.
    fn changes_of_new_era(&self, from: Revision) -> SyncMessages {
        let lowest = Revision::new(self.revision.era(), 1);
        let stamped = |item: &Versioned| {
            let revision = item.revision.max(lowest).0;
            MirroredItem { revision, ..MirroredItem::from(item) }
        };
        let items: Vec<_> = self.items.values().map(stamped).collect();
        let changes = items.chunks(MAX_CHANGES_PER_MESSAGE).map(|chunk| ChangeSet {
            items: chunk.to_vec(),
            base: from.0,
            revision: from.0,
        });
        let keys = Some(self.items.keys().map(|key| fingerprint(key)).collect());
        let end = SyncEnd { keys, base: from.0, revision: self.revision.0 };
        SyncMessages { changes: changes.collect(), end }
    }

    /// Returns true if no change is missing between the known ones and these.
    pub(super) fn can_apply(&self, changes: &ChangeSet) -> bool {
        let revisions = changes.items.iter().map(|item| item.revision);
        let newest = revisions.fold(changes.revision, u64::max);
        self.can_continue(changes.base, Revision(newest))
    }

    /// Returns true if no change is missing between the known ones and this
    /// end.
    pub(super) fn can_finish_sync(&self, end: &SyncEnd) -> bool {
        self.can_continue(end.base, end.revision())
    }

    /// Changes of a new era continue only from exactly the base: what this host knows
    /// beyond it may have been lost.
    fn can_continue(&self, base: u64, newest: Revision) -> bool {
        match newest.era() > self.revision.era() {
            true => base == self.revision.0,
            false => base <= self.revision.0,
        }
    }

    /// Returns the deletions of all keys that no longer exist at the end of a
    /// sync.
    pub(super) fn missing_deletions(&self, end: &SyncEnd) -> Vec<KvEvent> {
        let Some(keys) = &end.keys else { return Vec::new() };
        let existing: BTreeSet<u64> = keys.iter().copied().collect();
        let removed = self.items.keys().filter(|key| !existing.contains(&fingerprint(key)));
        removed.map(|key| KvEvent::Delete { key: key.clone(), revision: end.revision() }).collect()
    }
}

/// FNV-1a, because hosts of other builds must compute the same value.
fn fingerprint(key: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    key.bytes().fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
