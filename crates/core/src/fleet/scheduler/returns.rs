//! Times at which callers of refused requests are told to come back.
//!
//! Built for bursts in which many callers are refused within a moment. If each was
//! told how long the present queue takes, they would return together and most would
//! be refused again. So they get successive times, in the order in which they were
//! refused, each as far apart as the runners need for one request.

use std::{collections::BTreeMap, time::Duration};

use crate::time::MonoTime;

use super::queue::Rank;

/// The times given to callers, by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnTimes {
    /// When the last caller of a rank that was told to come back has been served.
    served_by: BTreeMap<Rank, MonoTime>,
}

impl ReturnTimes {
    /// Returns the time after which a caller may try again: after the backlog of its
    /// rank, which takes `wait`, and after the callers of this and more urgent tiers
    /// that were refused before. `work` is the time that all runners need for its
    /// request, `max` the time for which it waits.
    pub(super) fn next(
        &mut self,
        now: MonoTime,
        rank: Rank,
        wait: Duration,
        work: Duration,
        max: Duration,
    ) -> Duration {
        let earlier = self.served_by.range(..=rank).map(|(_, at)| *at).max();
        let at = earlier.unwrap_or(now).max(now + wait);
        if at.since(now) >= max {
            // It does not wait for its turn, so it takes no one else's.
            return max;
        }
        self.served_by.insert(rank, at + work);
        at.since(now)
    }
}
