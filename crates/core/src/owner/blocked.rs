//! Requests whose claims can't be committed yet.
//!
//! At the start of a term the lease is not held yet, and during a change of the
//! standby no claim can be committed. Both states last milliseconds while the
//! key-value service is available, so requests wait briefly before they fail.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{HostId, RequestId},
    time::MonoTime,
};

use super::Submission;

/// Time for which a request waits until its claim can be committed.
pub(super) const BLOCKED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Requests whose claims can't be committed yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct BlockedSubmissions(VecDeque<(MonoTime, Submission)>);

impl BlockedSubmissions {
    /// Adds a request unless it is held already. Returns the time at which a
    /// request added at `now` expires.
    pub(super) fn add(&mut self, now: MonoTime, submission: Submission) -> MonoTime {
        let id = submission.record.id;
        if self.0.iter().all(|(_, blocked)| blocked.record.id != id) {
            self.0.push_back((now, submission));
        }
        now + BLOCKED_TIMEOUT
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.0.retain(|(_, blocked)| blocked.record.id != id);
    }

    pub(super) fn remove_entry(&mut self, entry: &HostId) {
        self.0.retain(|(_, blocked)| blocked.record.entry != *entry);
    }

    /// Removes and returns all requests.
    pub(super) fn take(&mut self) -> impl Iterator<Item = Submission> + use<> {
        std::mem::take(&mut self.0).into_iter().map(|(_, blocked)| blocked)
    }

    /// Removes and returns the oldest request if it has expired.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Option<Submission> {
        let (since, _) = self.0.front()?;
        if now < *since + BLOCKED_TIMEOUT {
            return None;
        }
        self.0.pop_front().map(|(_, blocked)| blocked)
    }
}
