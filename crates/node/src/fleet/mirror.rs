//! What this host knows of the store, for hosts that ask it.

use std::collections::BTreeMap;

use comfreyway_platform::{KvEvent, Revision, Versioned};
use serde::{Deserialize, Serialize};

/// A key with its value on the way to another host. Values of the store that
/// matter here are text; any other one arrives empty and can't be read there
/// either.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct MirroredItem {
    #[serde(rename = "k")]
    key: String,
    /// None for a key that was deleted.
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

/// The keys of the store as far as this host knows them.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    items: BTreeMap<String, Versioned>,
    at: Revision,
}

impl Mirror {
    /// Revision up to which all changes are known.
    pub(super) fn at(&self) -> Revision {
        self.at
    }

    pub(super) fn replace(&mut self, items: &[Versioned], at: Revision) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.at = at;
    }

    pub(super) fn change(&mut self, events: &[KvEvent], at: Revision) {
        for event in events {
            match event {
                KvEvent::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                KvEvent::Delete { key, .. } => {
                    self.items.remove(key);
                }
            }
        }
        self.at = self.at.max(at);
    }

    pub(super) fn items(&self) -> Vec<MirroredItem> {
        self.items.values().map(MirroredItem::from).collect()
    }
}
