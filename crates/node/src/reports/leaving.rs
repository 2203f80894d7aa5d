//! Whether a runner is leaving according to sources other than the configuration.

/// Whether a runner is leaving, per source.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LeavingSources {
    /// Leaving according to the host list.
    pub(super) host_list: bool,
    /// Leaving according to the runner's own responses.
    pub(super) runner_response: bool,
}

impl LeavingSources {
    /// Returns true if any source says that the runner is leaving.
    pub(super) fn is_leaving(self) -> bool {
        self.host_list || self.runner_response
    }
}
