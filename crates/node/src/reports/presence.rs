//! Whether a runner stays, as others than the operators say.

/// What each source says of one runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Presence {
    /// The host list says that the runner is leaving.
    pub(super) listed_leaving: bool,
    /// The runner's own answer says that it is leaving.
    pub(super) answered_leaving: bool,
}

impl Presence {
    /// True if any source says that the runner is leaving.
    pub(super) fn is_leaving(self) -> bool {
        self.listed_leaving || self.answered_leaving
    }
}
