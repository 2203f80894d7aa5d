//! The key-value service of a schedule: one key, swaps that may be late.

use std::{collections::BTreeMap, sync::Arc};

use comfreyway_core::config::{AcceptedConfig, ChangeId, Document, StoredConfig};

/// A swap whose reply was lost before it took effect.
pub(crate) struct LateSwap {
    pub(crate) expected: u64,
    pub(crate) next: Box<AcceptedConfig>,
}

/// The stored value and everything that was ever written.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    pub(crate) late: Vec<LateSwap>,
    /// Each version's configuration, from version zero.
    pub(crate) versions: Vec<Arc<AcceptedConfig>>,
    /// The version that each identity made.
    pub(crate) identities: BTreeMap<ChangeId, u64>,
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

    /// Swaps the value. Every write is checked against the changes so far.
    pub(crate) fn swap(&mut self, expected: u64, next: &AcceptedConfig) -> bool {
        if expected != self.newest().version() {
            return false;
        }
        let entry = next.history().back().unwrap();
        assert_eq!(next.version(), expected + 1);
        let first = self.identities.insert(entry.id, next.version());
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
