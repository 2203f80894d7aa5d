//! Changes before and after their acceptance.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::OperatorName;

use super::{ChangeId, Edit, ElementKey, Finding};

/// A change that an operator asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identity, with the version that the author saw.
    pub id: ChangeId,
    /// Who asks for it.
    pub author: OperatorName,
    /// The steps, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Checks that the change has edits and that no two of them touch the same
    /// element, so that their order has no meaning.
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

/// A change that was accepted, as the history keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// The version that the change made.
    pub version: u64,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who asked for it.
    pub author: OperatorName,
    /// When it was accepted, in milliseconds since the Unix epoch by the clock
    /// of the accepting host. For people only.
    pub at_ms: u64,
    /// The steps; none if they were too large to be kept.
    pub edits: Option<Vec<Edit>>,
}
