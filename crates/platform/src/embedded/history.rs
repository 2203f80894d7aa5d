//! The latest changes of a store, for watches that start in the past.

use std::collections::VecDeque;

use crate::{KvEvent, Revision};

/// Number of changes that stay readable.
const MAX_CHANGES: usize = 100_000;

/// The latest changes, oldest first.
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

    /// Forgets all changes up to the present revision.
    pub(super) fn forget(&mut self, present: Revision) {
        self.changes.clear();
        self.forgotten = present;
    }

    /// The changes after `after` of keys with this prefix, or none if some of
    /// them are forgotten.
    pub(super) fn after(&self, prefix: &str, after: Revision) -> Option<Vec<KvEvent>> {
        if after < self.forgotten {
            return None;
        }
        let start = self.changes.partition_point(|event| event.revision() <= after);
        let wanted = self.changes.range(start..).filter(|event| event.key().starts_with(prefix));
        Some(wanted.cloned().collect())
    }
}
