//! Requested and accepted changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::OperatorName;

use super::{ChangeId, Edit, ElementKey, Finding};

/// A change that an operator requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identifier, which includes the base version.
    pub id: ChangeId,
    /// Operator who requests the change.
    pub author: OperatorName,
    /// The edits, no two of which may affect the same element.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Checks that the change has edits and that no two of them affect the same
    /// element, so that their order doesn't matter.
    pub(super) fn check(&self) -> Result<(), Finding> {
        if self.edits.is_empty() {
            return Err(Finding::error("change", "has no edits; set or remove an element"));
        }
        let mut keys = BTreeSet::new();
        let mut removed = BTreeSet::new();
        for edit in &self.edits {
            if let Edit::Remove(ElementKey::Upstream(name)) = edit {
                removed.insert(name);
            }
            if !keys.insert(edit.key()) {
                let text = "is changed twice by one change; keep one of the two";
                return Err(Finding::error(edit.key().to_string(), text));
            }
        }
        for key in &keys {
            if matches!(key, ElementKey::Runner(upstream, _) if removed.contains(upstream)) {
                let text =
                    "is changed together with the removal of its upstream; keep one of the two";
                return Err(Finding::error(key.to_string(), text));
            }
        }
        Ok(())
    }
}

/// An accepted change, as kept in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// The version that the change created.
    pub version: u64,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Operator who requested the change.
    pub author: OperatorName,
    /// Time of acceptance in milliseconds since the Unix epoch, by the clock of
    /// the accepting host. Informational: no decision depends on it.
    pub at_ms: u64,
    /// The edits; none if they were dropped to keep the history within
    /// [`MAX_HISTORY_BYTES`](super::MAX_HISTORY_BYTES).
    pub edits: Option<Vec<Edit>>,
}
