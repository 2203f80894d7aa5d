//! Rate limits that runners name in their responses.
//!
//! A limit holds for all hosts together, as long as the runner's responses name it.
//! Responses overtake each other, on their way to a host and from there to the
//! coordinator. So a response changes what an earlier one said only if its request was
//! sent after that one had arrived. Of those on the way at the same time, the lowest
//! limit counts.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::RunnerName, time::MonoTime};

use super::RunnerKey;

/// Maximum number of runs whose limits are known: more than a large fleet has.
const MAX_LIMITS: usize = 8_192;

/// Time that a report takes from host to host, at most.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// What a response says about the rate limit of the run that sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// The run.
    #[serde(rename = "k")]
    pub key: RunnerKey,
    /// Requests a second from all hosts together; none if the response names no limit.
    #[serde(rename = "l")]
    pub per_s: Option<f64>,
    /// Time since the request was sent.
    #[serde(rename = "a")]
    pub sent_ago: Duration,
}

/// A limit that a run has named.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// The run.
    pub key: RunnerKey,
    /// Requests a second from all hosts together.
    pub per_s: f64,
    /// When it began to name a limit.
    pub since: MonoTime,
    /// When the last response that named it arrived.
    pub heard_at: MonoTime,
}

/// The limits that runs have named, by runner.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{
///     fleet::{LimitReport, RunnerKey, RunnerLimits},
///     time::MonoTime,
/// };
///
/// let key = RunnerKey { name: "r1".parse().unwrap(), started_ms: Some(1) };
/// let report = |per_s, ms| {
///     LimitReport { key: key.clone(), per_s, sent_ago: Duration::from_millis(ms) }
/// };
/// let mut limits = RunnerLimits::default();
/// assert!(limits.apply(MonoTime::from_millis(1_000), &report(Some(2.5), 50)));
/// // Its request was sent before the limit was known.
/// assert!(!limits.apply(MonoTime::from_millis(1_500), &report(None, 700)));
/// assert!(limits.apply(MonoTime::from_millis(2_000), &report(None, 200)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunnerLimits {
    named: BTreeMap<RunnerName, NamedLimit>,
}

impl RunnerLimits {
    /// Applies what a response said. Returns true if that changes the limit.
    pub fn apply(&mut self, now: MonoTime, report: &LimitReport) -> bool {
        let name = &report.key.name;
        let known = self.named.get_mut(name).filter(|known| known.key == report.key);
        let Some(known) = known else {
            let Some(per_s) = report.per_s else { return false };
            self.insert(now, report.key.clone(), per_s);
            return true;
        };
        let is_later = now.since(known.heard_at) > report.sent_ago + REPORT_MARGIN;
        match report.per_s {
            None if !is_later => false,
            None => self.named.remove(name).is_some(),
            Some(per_s) if per_s < known.per_s || (is_later && per_s != known.per_s) => {
                known.per_s = per_s;
                known.heard_at = now;
                true
            }
            Some(_) => {
                known.heard_at = now;
                false
            }
        }
    }

    /// Sets what another host knows of a run. Returns true if that changes the limit.
    pub fn set(&mut self, now: MonoTime, key: &RunnerKey, per_s: Option<f64>) -> bool {
        let known = self.of(key).map(|known| known.per_s);
        if known == per_s {
            return false;
        }
        match (per_s, self.named.get_mut(&key.name).filter(|known| known.key == *key)) {
            (None, _) => drop(self.named.remove(&key.name)),
            (Some(per_s), None) => self.insert(now, key.clone(), per_s),
            (Some(per_s), Some(known)) => {
                known.per_s = per_s;
                known.heard_at = now;
            }
        }
        true
    }

    /// Returns the limit that this run names.
    #[must_use]
    pub fn of(&self, key: &RunnerKey) -> Option<&NamedLimit> {
        self.named.get(&key.name).filter(|known| known.key == *key)
    }

    /// Discards the limits for which `keep` returns false.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&NamedLimit) -> bool,
    {
        self.named.retain(|_, limit| keep(limit));
    }

    /// Returns all limits.
    pub fn iter(&self) -> impl Iterator<Item = &NamedLimit> {
        self.named.values()
    }

    fn insert(&mut self, now: MonoTime, key: RunnerKey, per_s: f64) {
        if self.named.len() >= MAX_LIMITS && !self.named.contains_key(&key.name) {
            let oldest = self.named.values().min_by_key(|known| known.heard_at);
            if let Some(name) = oldest.map(|known| known.key.name.clone()) {
                self.named.remove(&name);
            }
        }
        let limit = NamedLimit { key, per_s, since: now, heard_at: now };
        self.named.insert(limit.key.name.clone(), limit);
    }
}
