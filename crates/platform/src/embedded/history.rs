//! Recent changes of a store, for watches that start at an earlier revision.

use std::collections::VecDeque;

use crate::{KvEvent, Revision};

/// Largest number of retained changes.
const MAX_CHANGES: usize = 100_000;

/// Recent changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    changes: VecDeque<KvEvent>,
    compacted: Revision,
}

impl History {
    pub(super) fn push(&mut self, event: KvEvent) {
        self.changes.push_back(event);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted = oldest.revision();
        }
    }

    /// Drops all changes up to the current revision.
    pub(super) fn compact(&mut self, current: Revision) {
        self.changes.clear();
        self.compacted = current;
    }

    /// Returns the changes after revision `after` to keys that start with
    /// `prefix`, or `None` if some of them were dropped.
    pub(super) fn after(&self, prefix: &str, after: Revision) -> Option<Vec<KvEvent>> {
        if after < self.compacted {
            return None;
        }
        let start = self.changes.partition_point(|event| event.revision() <= after);
        let matching = self.changes.range(start..).filter(|event| event.key().starts_with(prefix));
        Some(matching.cloned().collect())
    }
}
