//! What runners say about themselves in their responses.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::RunnerName, time::MonoTime};

use super::RunnerKey;

/// Maximum number of runs whose end is remembered: several times the runners of a
/// large fleet that are replaced within a day's rollout.
const MAX_ENDED_RUNS: usize = 8_192;

/// A statement about a run of a runner, taken from one of its responses.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use comfreyway_core::fleet::{RunnerKey, RunnerNotice};
///
/// let key = RunnerKey { name: "r1".parse().unwrap(), started_ms: Some(1) };
/// let notice = RunnerNotice::Rest(key.clone(), Duration::from_secs(2));
/// assert_eq!(notice.key(), &key);
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunnerNotice {
    /// The run completes its work and accepts no more requests.
    #[serde(rename = "l")]
    Leaving(RunnerKey),
    /// The run has ended: its address responds as another one.
    #[serde(rename = "e")]
    Ended(RunnerKey),
    /// The run accepts no requests of the host that received the response for
    /// this time.
    #[serde(rename = "r")]
    Rest(RunnerKey, Duration),
}

impl RunnerNotice {
    /// Returns the run that made the statement.
    #[must_use]
    pub fn key(&self) -> &RunnerKey {
        match self {
            Self::Leaving(key) | Self::Ended(key) | Self::Rest(key, _) => key,
        }
    }
}

/// The statements of runners that still apply, by runner.
#[derive(Debug, Default)]
pub(super) struct RunnerNotices {
    /// Runs that are leaving or have ended, with the order in which they were
    /// learned.
    ended: BTreeMap<RunnerName, (u64, RunnerNotice)>,
    next: u64,
    /// Until when runs accept no requests of this host.
    rests: BTreeMap<RunnerName, (RunnerKey, MonoTime)>,
}

impl RunnerNotices {
    /// Records a statement. Returns false if it was already known.
    pub(super) fn record(&mut self, now: MonoTime, notice: &RunnerNotice) -> bool {
        let key = notice.key();
        let name = key.name.clone();
        if let RunnerNotice::Rest(_, time) = notice {
            let rest = self.rests.entry(name).or_insert_with(|| (key.clone(), now));
            if rest.0 != *key {
                *rest = (key.clone(), now);
            }
            rest.1 = rest.1.max(now + *time);
            return true;
        }
        let known = self.ended(key);
        if known == Some(notice) || matches!(known, Some(RunnerNotice::Ended(_))) {
            return false;
        }
        self.next += 1;
        self.ended.insert(name, (self.next, notice.clone()));
        if self.ended.len() > MAX_ENDED_RUNS {
            let oldest = self.ended.iter().min_by_key(|(_, (order, _))| *order);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.ended.remove(&name);
            }
        }
        true
    }

    /// Returns the statement that this run is leaving or has ended.
    pub(super) fn ended(&self, key: &RunnerKey) -> Option<&RunnerNotice> {
        let (_, notice) = self.ended.get(&key.name)?;
        Some(notice).filter(|notice| notice.key() == key)
    }

    /// Returns for how long this run accepts no more requests of this host.
    pub(super) fn rest(&self, now: MonoTime, key: &RunnerKey) -> Option<Duration> {
        let (of, until) = self.rests.get(&key.name)?;
        (of == key && now < *until).then(|| until.since(now))
    }

    /// Discards rests that have passed.
    pub(super) fn tick(&mut self, now: MonoTime) {
        self.rests.retain(|_, (_, until)| now < *until);
    }
}
