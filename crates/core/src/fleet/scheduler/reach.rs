//! Hosts that reach runners, and hosts that are cut off from them.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HostId, RunnerName};

/// Number of runners that have to fail a host, without a response from any, until it
/// counts as cut off. Of fewer runners all have to.
const MIN_UNREACHED: usize = 3;

/// The runners that have failed each host since its last response from any.
#[derive(Clone, Debug, Default)]
pub(super) struct HostReach {
    unreached: BTreeMap<HostId, BTreeSet<RunnerName>>,
}

impl HostReach {
    pub(super) fn record_failure(&mut self, host: &HostId, runner: &RunnerName) {
        let unreached = self.unreached.entry(host.clone()).or_default();
        if unreached.len() < MIN_UNREACHED {
            unreached.insert(runner.clone());
        }
    }

    pub(super) fn record_response(&mut self, host: &HostId) {
        self.unreached.remove(host);
    }

    /// Returns true if the host reaches none of the `runners`, as far as is known.
    pub(super) fn is_cut_off(&self, host: &HostId, runners: usize) -> bool {
        let min = MIN_UNREACHED.min(runners).max(2);
        self.unreached.get(host).is_some_and(|unreached| unreached.len() >= min)
    }

    pub(super) fn forget(&mut self, host: &HostId) {
        self.unreached.remove(host);
    }
}
