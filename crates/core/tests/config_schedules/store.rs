//! The key-value service of a schedule: one key, with swaps that may be delayed.

use std::{collections::BTreeMap, sync::Arc};

use comfreyway_core::config::{AcceptedConfig, ChangeId, Document, StoredConfig};

/// A swap whose reply was lost and that may still take effect.
pub(crate) struct DelayedSwap {
    pub(crate) expected: u64,
    pub(crate) next: Box<AcceptedConfig>,
}

/// All values written so far. The last one is the stored value.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    pub(crate) delayed_swaps: Vec<DelayedSwap>,
    /// The configuration of each version, starting with version zero.
    pub(crate) versions: Vec<Arc<AcceptedConfig>>,
    /// The version created by each change.
    pub(crate) versions_by_id: BTreeMap<ChangeId, u64>,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self { versions: vec![Arc::default()], ..Self::default() }
    }

    pub(crate) fn newest(&self) -> &Arc<AcceptedConfig> {
        self.versions.last().unwrap()
    }

    pub(crate) fn read(&self) -> Option<StoredConfig> {
        let accepted = AcceptedConfig::clone(self.newest());
        let revision = accepted.version();
        (!self.down).then_some(StoredConfig { accepted, revision })
    }

    /// Replaces the value if the stored version is `expected`, and checks that the
    /// new value contains all earlier changes.
    pub(crate) fn swap(&mut self, expected: u64, next: &AcceptedConfig) -> bool {
        if expected != self.newest().version() {
            return false;
        }
        let entry = next.history().back().unwrap();
        assert_eq!(next.version(), expected + 1);
        let first = self.versions_by_id.insert(entry.id, next.version());
        assert_eq!(first, None, "{} was applied twice", entry.id);
        let mut replayed = Document::clone(self.newest().document());
        for edit in entry.edits.as_ref().unwrap() {
            replayed.apply(edit).unwrap();
        }
        replayed.version = next.version();
        assert_eq!(&replayed, next.document(), "an earlier change was lost");
        self.versions.push(Arc::new(next.clone()));
        true
    }
}
