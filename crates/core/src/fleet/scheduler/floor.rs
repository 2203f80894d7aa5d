//! Floors of classes: the share of its requests that each class gets started.
//!
//! Built for a burst of urgent classes that outlasts the patience of all other
//! callers. Strict order by tier would refuse a less urgent class completely, even
//! one whose requests take a few slots for a moment.

use std::collections::BTreeMap;

use crate::{ids::ClassName, request::RequestRecord, time::MonoTime};

use super::UpstreamScheduler;

/// Fraction of the mean share of started requests below which a class goes ahead of
/// more urgent ones. The operators require a quarter over a day; the rest covers
/// requests that are started but fail.
const FLOOR_FRACTION: f64 = 0.5;

/// Time constant in seconds over which requests are counted. A burst of a few seconds
/// may use up what a class got before, so that more urgent requests go first in it.
const MEMORY_S: f64 = 30.0;

/// Maximum number of classes that are counted.
const MAX_CLASSES: usize = 1_024;

/// Requests of a class, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    submitted: f64,
    started: f64,
    updated_at: MonoTime,
}

impl Counts {
    fn at(self, now: MonoTime) -> Self {
        let weight = (-now.since(self.updated_at).as_secs_f64() / MEMORY_S).exp();
        Self { submitted: self.submitted * weight, started: self.started * weight, updated_at: now }
    }

    fn add(&mut self, now: MonoTime, submitted: f64, started: f64) {
        *self = self.at(now);
        self.submitted += submitted;
        self.started = (self.started + started).max(0.0);
    }
}

/// Counts of submitted and started requests, of each class and in total.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassFloors {
    classes: BTreeMap<ClassName, Counts>,
    total: Counts,
}

impl ClassFloors {
    pub(super) fn submitted(&mut self, now: MonoTime, class: &ClassName) {
        self.add(now, class, 1.0, 0.0);
    }

    pub(super) fn started(&mut self, now: MonoTime, class: &ClassName) {
        self.add(now, class, 0.0, 1.0);
    }

    /// Records that a started request was not run and waits again.
    pub(super) fn requeued(&mut self, now: MonoTime, class: &ClassName) {
        self.add(now, class, 0.0, -1.0);
    }

    fn add(&mut self, now: MonoTime, class: &ClassName, submitted: f64, started: f64) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            return;
        }
        self.classes.entry(class.clone()).or_default().add(now, submitted, started);
        self.total.add(now, submitted, started);
    }

    /// Returns how many more requests of a class have to be started for its floor.
    fn missing(&self, now: MonoTime, class: &ClassName) -> f64 {
        let Some(counts) = self.classes.get(class) else { return 0.0 };
        let (counts, total) = (counts.at(now), self.total.at(now));
        let mean = total.started / total.submitted.max(1.0);
        counts.submitted * mean.min(1.0) * FLOOR_FRACTION - counts.started
    }
}

impl UpstreamScheduler {
    /// Returns true if a class goes ahead of more urgent ones.
    pub(super) fn is_below_floor(&self, now: MonoTime, class: &ClassName) -> bool {
        self.floors.missing(now, class) > 0.0
    }

    /// Returns true if a request will be started for the floor of its class, even if
    /// the backlog of more urgent ones is too long.
    pub(super) fn is_kept_by_floor(&self, now: MonoTime, record: &RequestRecord) -> bool {
        let waiting = self.queue.waiting_in_class(&record.class);
        self.floors.missing(now, &record.class) > waiting as f64
    }
}
