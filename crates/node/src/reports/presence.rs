//! Whether a runner is leaving according to sources other than the configuration.

/// Whether a runner is leaving, per source.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Presence {
    /// Leaving according to the host list.
    pub(super) listed_leaving: bool,
    /// Leaving according to the runner's own responses.
    pub(super) answered_leaving: bool,
}

impl Presence {
    /// Returns true if any source says that the runner is leaving.
    pub(super) fn is_leaving(self) -> bool {
        self.listed_leaving || self.answered_leaving
    }
}
