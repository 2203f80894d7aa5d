//! Elements changed after a version.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::UpstreamName;

use super::{AcceptedChange, Edit, ElementKey};

/// The last change of each element after a version, to detect conflicts.
pub(super) struct ChangeIndex<'a> {
    by_key: BTreeMap<ElementKey, &'a AcceptedChange>,
    removed_upstreams: BTreeMap<UpstreamName, &'a AcceptedChange>,
    changed_runners: BTreeMap<UpstreamName, &'a AcceptedChange>,
    /// The last change without its edits. It may have changed any element.
    without_edits: Option<&'a AcceptedChange>,
}

impl<'a> ChangeIndex<'a> {
    /// Indexes the changes after version `base`.
    pub(super) fn after(history: &'a VecDeque<AcceptedChange>, base: u64) -> Self {
        let mut index = Self {
            by_key: BTreeMap::new(),
            removed_upstreams: BTreeMap::new(),
            changed_runners: BTreeMap::new(),
            without_edits: None,
        };
        for change in history.iter().filter(|change| change.version > base) {
            index.add(change);
        }
        index
    }

    fn add(&mut self, change: &'a AcceptedChange) {
        let Some(edits) = &change.edits else {
            self.without_edits = Some(change);
            return;
        };
        for edit in edits {
            if let Edit::Remove(ElementKey::Upstream(name)) = edit {
                self.removed_upstreams.insert(name.clone(), change);
            }
            if let ElementKey::Runner(upstream, _) = edit.key() {
                self.changed_runners.insert(upstream, change);
            }
            self.by_key.insert(edit.key(), change);
        }
    }

    /// Returns the last change that affects the edit: a change of the same
    /// element, a removal of a runner's upstream, a change of a runner whose
    /// upstream the edit removes, or a change whose edits were not kept.
    pub(super) fn last_overlap(&self, edit: &Edit) -> Option<&'a AcceptedChange> {
        let key = edit.key();
        let same = self.by_key.get(&key);
        let related = match (&key, edit) {
            (ElementKey::Runner(upstream, _), _) => self.removed_upstreams.get(upstream),
            (ElementKey::Upstream(name), Edit::Remove(_)) => self.changed_runners.get(name),
            _ => None,
        };
        let found = [same.copied(), related.copied(), self.without_edits];
        found.into_iter().flatten().max_by_key(|change| change.version)
    }
}
