//! External load: sequences at a runner that this owner did not grant.
//!
//! A load report is compared with the sequences that this owner had in progress
//! when the report was made. The surplus comes from an earlier owner or from
//! entries that are down. It updates the estimate with a weight that falls with
//! the report's age.

use std::{collections::VecDeque, time::Duration};

use crate::time::MonoTime;

use super::input::LoadReport;

/// Length of one history interval.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals kept.
const MAX_INTERVALS: usize = 24;

/// Report age at which the weight is one half.
const HALF_WEIGHT_AGE: Duration = Duration::from_secs(1);

/// Estimated external load of one runner.
#[derive(Clone, Debug, Default)]
pub(super) struct ExternalLoad {
    /// Start of each recent interval and this owner's maximum of sequences in
    /// it.
    history: VecDeque<(MonoTime, u32)>,
    estimate: f64,
}

impl ExternalLoad {
    pub(super) fn sequences(&self) -> u32 {
        self.estimate.round() as u32
    }

    /// Records this owner's sequences in progress.
    pub(super) fn record_own(&mut self, now: MonoTime, own: u32) {
        match self.history.back_mut() {
            Some((start, max)) if now.since(*start) < INTERVAL => *max = own.max(*max),
            _ => {
                let previous = self.history.back().map_or(0, |&(_, max)| max);
                self.history.push_back((now, own.max(previous.min(own + 1))));
            }
        }
        if self.history.len() > MAX_INTERVALS {
            self.history.pop_front();
        }
    }

    /// Updates the estimate with a load report. This owner's sequences at the
    /// time of the report are taken as their maximum over the intervals around
    /// that time.
    pub(super) fn apply_report(&mut self, now: MonoTime, report: &LoadReport, own: u32) {
        let made_at = now - report.age;
        let is_near =
            |start: MonoTime| start <= made_at + INTERVAL && made_at <= start + INTERVAL + INTERVAL;
        let near = self.history.iter().filter(|&&(start, _)| is_near(start)).map(|&(_, max)| max);
        let latest =
            self.history.iter().rfind(|&&(start, _)| start <= made_at).map_or(own, |h| h.1);
        let own_at_report = near.max().unwrap_or(0).max(latest);
        let reported = report.running.saturating_add(report.queued);
        let surplus = f64::from(reported.saturating_sub(own_at_report));
        let half = HALF_WEIGHT_AGE.as_secs_f64();
        let weight = half / (half + report.age.as_secs_f64());
        self.estimate += weight * (surplus - self.estimate);
    }
}
