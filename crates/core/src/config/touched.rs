//! Which elements were changed after a version, and by whom.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::UpstreamName;

use super::{AcceptedChange, Edit, ElementKey};

/// The last change of each element after a version.
pub(super) struct Touched<'a> {
    by_key: BTreeMap<ElementKey, &'a AcceptedChange>,
    removed_upstreams: BTreeMap<UpstreamName, &'a AcceptedChange>,
    runners: BTreeMap<UpstreamName, &'a AcceptedChange>,
    /// The last change whose edits were not kept. It may have touched anything.
    opaque: Option<&'a AcceptedChange>,
}

impl<'a> Touched<'a> {
    /// Collects the changes after `base`.
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

    /// The last change that the edit overlaps with: of the same element, of its
    /// upstream's removal, or of a runner of the upstream that it removes.
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
