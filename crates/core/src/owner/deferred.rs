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

/// Longest time for which a request is deferred.
pub(super) const DEFERRAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Requests whose claims can't be committed yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct Deferred(VecDeque<(MonoTime, Submission)>);

impl Deferred {
    /// Defers a request unless it is deferred already. Returns the time at which
    /// a request deferred at `now` expires.
    pub(super) fn add(&mut self, now: MonoTime, submission: Submission) -> MonoTime {
        let id = submission.record.id;
        if self.0.iter().all(|(_, deferred)| deferred.record.id != id) {
            self.0.push_back((now, submission));
        }
        now + DEFERRAL_TIMEOUT
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.0.retain(|(_, deferred)| deferred.record.id != id);
    }

    pub(super) fn remove_entry(&mut self, entry: &HostId) {
        self.0.retain(|(_, deferred)| deferred.record.entry != *entry);
    }

    /// Removes and returns all requests.
    pub(super) fn take(&mut self) -> impl Iterator<Item = Submission> + use<> {
        std::mem::take(&mut self.0).into_iter().map(|(_, deferred)| deferred)
    }

    /// Removes and returns the oldest request if it has expired.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Option<Submission> {
        let (since, _) = self.0.front()?;
        if now < *since + DEFERRAL_TIMEOUT {
            return None;
        }
        self.0.pop_front().map(|(_, deferred)| deferred)
    }
}
