//! Why a change is not accepted.

use serde::{Deserialize, Serialize};

use crate::ids::OperatorName;

use super::{ChangeId, Element, ElementKey, Finding};

/// Two changes of one element, the second of which is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The element.
    pub key: ElementKey,
    /// The value that the refused change wanted; none for a removal.
    pub yours: Option<Element>,
    /// The value in force; none if it was removed.
    pub theirs: Option<Element>,
    /// Who wrote the value in force.
    pub author: OperatorName,
    /// The change that wrote it.
    pub change: ChangeId,
    /// The version that it made.
    pub version: u64,
}

/// Why a change was refused. Nothing was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The resulting document has errors.
    Invalid(Vec<Finding>),
    /// Elements were changed by somebody else after the change's base.
    Conflict(Vec<Conflict>),
    /// The base is older than the history, or newer than the version in force.
    Base {
        /// The base of the refused change.
        base: u64,
        /// Oldest base that can be accepted.
        oldest: u64,
        /// The version in force.
        version: u64,
    },
}
