//! Checks of a whole configuration. Each finding names its place and its mend.

mod limits;
mod names;
mod reach;
mod tiers;

pub use self::{
    limits::{MAX_NOTE_BYTES, MAX_ROUTE_PREFIX_BYTES},
    reach::MinServiceTimes,
    tiers::MAX_TIER,
};

use super::{Document, Finding};

impl Document {
    /// Checks the document as a whole, errors and warnings.
    #[must_use]
    pub fn validate(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        names::check(self, &mut findings);
        limits::check(self, &mut findings);
        tiers::check(self, &mut findings);
        findings
    }
}
