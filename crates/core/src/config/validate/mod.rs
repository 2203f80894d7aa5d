//! Validation of a complete configuration. Each finding says where the fault is
//! and how to fix it.

mod limits;
mod reach;
mod references;
mod targets;
mod tiers;

pub use self::{
    limits::{MAX_NOTE_BYTES, MAX_ROUTE_PREFIX_BYTES},
    targets::MinServiceTimes,
    tiers::MAX_TIER,
};

use super::{Document, Finding};

impl Document {
    /// Validates the document and returns all errors and warnings.
    #[must_use]
    pub fn validate(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        references::check(self, &mut findings);
        limits::check(self, &mut findings);
        tiers::check(self, &mut findings);
        findings
    }
}
