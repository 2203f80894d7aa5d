//! Elements changed after a version.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::UpstreamName;

use super::{AcceptedChange, Edit, ElementKey};

/// The last change of each element after a version, to detect conflicts.
pub(super) struct Touched<'a> {
    by_key: BTreeMap<ElementKey, &'a AcceptedChange>,
    removed_upstreams: BTreeMap<UpstreamName, &'a AcceptedChange>,
    runners: BTreeMap<UpstreamName, &'a AcceptedChange>,
    /// The last change without its edits. It may have changed any element.
    opaque: Option<&'a AcceptedChange>,
}

impl<'a> Touched<'a> {
    /// Indexes the changes after version `base`.
    pub(super) fn after(history: &'a VecDeque<AcceptedChange>, base: u64) -> Self {
        let mut touched = Self {
            by_key: BTreeMap::new(),
            removed_upstreams: BTreeMap::new(),
            runners: BTreeMap::new(),
            opaque: None,
        };
        for change in history.iter().filter(|change| change.version > base) {
            touched.add(change);
        }
        touched
    }

    fn add(&mut self, change: &'a AcceptedChange) {
        let Some(edits) = &change.edits else {
            self.opaque = Some(change);
            return;
        };
        for edit in edits {
            if let Edit::Remove(ElementKey::Upstream(name)) = edit {
                self.removed_upstreams.insert(name.clone(), change);
            }
            if let ElementKey::Runner(upstream, _) = edit.key() {
                self.runners.insert(upstream, change);
            }
            self.by_key.insert(edit.key(), change);
        }
    }

    /// Returns the last change that affects the edit: a change of the same
    /// element, a removal of a runner's upstream, a change of a runner whose
    /// upstream the edit removes, or a change whose edits were not kept.
    pub(super) fn last(&self, edit: &Edit) -> Option<&'a AcceptedChange> {
        let key = edit.key();
        let same = self.by_key.get(&key);
        let related = match (&key, edit) {
            (ElementKey::Runner(upstream, _), _) => self.removed_upstreams.get(upstream),
            (ElementKey::Upstream(name), Edit::Remove(_)) => self.runners.get(name),
            _ => None,
        };
        let found = [same.copied(), related.copied(), self.opaque];
        found.into_iter().flatten().max_by_key(|change| change.version)
    }
}
