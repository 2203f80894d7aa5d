//! Recent changes of a store, for watches that start at an earlier revision.

use std::collections::VecDeque;

use crate::{KvEvent, Revision};

/// Largest number of retained changes.
const MAX_CHANGES: usize = 100_000;

/// Recent changes, oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<KvEvent>,
    forgotten: Revision,
}

impl History {
    pub(super) fn push(&mut self, event: KvEvent) {
        self.changes.push_back(event);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.forgotten = oldest.revision();
        }
    }

    /// Drops all changes up to the current revision.
    pub(super) fn forget(&mut self, present: Revision) {
        self.changes.clear();
        self.forgotten = present;
    }

    /// Returns the changes after revision `after` to keys that start with
    /// `prefix`, or `None` if some of them were dropped.
    pub(super) fn after(&self, prefix: &str, after: Revision) -> Option<Vec<KvEvent>> {
        if after < self.forgotten {
            return None;
        }
        let start = self.changes.partition_point(|event| event.revision() <= after);
        let wanted = self.changes.range(start..).filter(|event| event.key().starts_with(prefix));
        Some(wanted.cloned().collect())
    }
}
