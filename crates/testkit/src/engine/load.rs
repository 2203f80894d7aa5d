//! Delayed load reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A sample replaces the previous one if that is more recent than this.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Body of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait to join the batch.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prefill_tokens: u32,
    /// Largest number of sequences in the batch.
    pub max_batch: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Recent samples of the load.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// Adds a sample and removes those that are no longer needed.
    pub(super) fn sample(&mut self, report: LoadReport, lag: Duration) {
        let now = Instant::now();
        if self.samples.back().is_some_and(|(at, _)| now - *at < SAMPLE_INTERVAL) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, report));
        while self.samples.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least `lag` old.
    pub(super) fn report(&self, lag: Duration) -> LoadReport {
        let now = Instant::now();
        let old = self.samples.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = old.map_or_else(LoadReport::default, |&(_, report)| report);
        LoadReport { age_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX), ..report }
    }
}
