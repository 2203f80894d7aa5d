//! Requests whose claim can't be made safe at the moment.
//!
//! At the start of a term the lease is not held yet, and between two standbys
//! nothing is proved. Both pass within milliseconds while the key-value service
//! answers, so that requests wait for a short time before they are given up.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{HostId, RequestId},
    time::MonoTime,
};

use super::Submission;

/// Longest wait for a claim to become safe.
pub(super) const HOLD_LIMIT: Duration = Duration::from_millis(1_000);

/// Requests whose claim can't be made safe at the moment, oldest first.
#[derive(Debug, Default)]
pub(super) struct Held(VecDeque<(MonoTime, Submission)>);

impl Held {
    /// Adds a request, unless it waits already. Returns when to give it up.
    pub(super) fn add(&mut self, now: MonoTime, submission: Submission) -> MonoTime {
        let id = submission.record.id;
        if self.0.iter().all(|(_, held)| held.record.id != id) {
            self.0.push_back((now, submission));
        }
        now + HOLD_LIMIT
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.0.retain(|(_, held)| held.record.id != id);
    }

    pub(super) fn remove_entry(&mut self, entry: &HostId) {
        self.0.retain(|(_, held)| held.record.entry != *entry);
    }

    /// Takes every request out.
    pub(super) fn take(&mut self) -> impl Iterator<Item = Submission> + use<> {
        std::mem::take(&mut self.0).into_iter().map(|(_, held)| held)
    }

    /// Takes the next request that has waited too long.
    pub(super) fn take_overdue(&mut self, now: MonoTime) -> Option<Submission> {
        let (since, _) = self.0.front()?;
        if now < *since + HOLD_LIMIT {
            return None;
        }
        self.0.pop_front().map(|(_, held)| held)
    }
}
