//! A bounded set of what was used last.

use std::collections::BTreeSet;

/// Number of values in a generation; the set holds two.
const GENERATION: usize = 2_048;

/// Holds the values that were inserted last. Values move to a new generation whenever
/// they are inserted again, and the older of two generations is dropped as a whole.
#[derive(Clone, Debug)]
pub(super) struct RecentSet<T> {
    newer: BTreeSet<T>,
    older: BTreeSet<T>,
}

impl<T> Default for RecentSet<T> {
    fn default() -> Self {
        Self { newer: BTreeSet::new(), older: BTreeSet::new() }
    }
}

impl<T> RecentSet<T>
where
    T: Ord,
{
    pub(super) fn insert(&mut self, value: T) {
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(value);
    }

    pub(super) fn contains(&self, value: &T) -> bool {
        self.newer.contains(value) || self.older.contains(value)
    }

    pub(super) fn remove(&mut self, value: &T) -> bool {
        let was_older = self.older.remove(value);
        self.newer.remove(value) || was_older
    }
}
