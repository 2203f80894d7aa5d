//! Reasons for refusing a change.

use serde::{Deserialize, Serialize};

use crate::ids::OperatorName;

use super::{ChangeId, Element, ElementKey, Finding};

/// Conflict of a refused change with an accepted change that affects the same
/// element.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The element.
    pub key: ElementKey,
    /// The value in the refused change; none for a removal.
    pub yours: Option<Element>,
    /// The value in force; none if it was removed.
    pub theirs: Option<Element>,
    /// Author of the accepted change.
    pub author: OperatorName,
    /// Identifier of the accepted change.
    pub change: ChangeId,
    /// The version that the accepted change created.
    pub version: u64,
}

/// Why a change was refused. Nothing was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The resulting document has errors.
    Invalid(Vec<Finding>),
    /// Other changes since the base changed the same elements.
    Conflict(Vec<Conflict>),
    /// The base is older than the history, or newer than the version in force.
    Base {
        /// The base of the refused change.
        base: u64,
        /// The oldest base that can be accepted.
        oldest: u64,
        /// The version in force.
        version: u64,
    },
}
