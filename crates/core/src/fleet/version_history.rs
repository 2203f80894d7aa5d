//! The versions of an upstream's runners that may have begun a stream.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RunnerName, time::MonoTime};

use super::RunnerVersion;

/// The versions that serve in an upstream or did so a short time ago. A runner of
/// unknown version counts as one of a version of its own.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{
///     fleet::{RunnerVersion, VersionHistory},
///     time::MonoTime,
/// };
///
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// let (v1, v2) = (RunnerVersion::new("v1"), RunnerVersion::new("v2"));
/// let at = MonoTime::from_millis;
/// let mut history = VersionHistory::new(Duration::from_secs(10));
/// history.runner_present(at(0), &a, v1.clone());
/// assert_eq!(history.sole_version(at(0)), v1.as_ref());
/// history.runner_present(at(1), &b, v2.clone());
/// history.runner_removed(at(2), &a);
/// assert_eq!(history.sole_version(at(3)), None);
/// assert_eq!(history.sole_version(at(10_003)), v2.as_ref());
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    memory: Duration,
    present: BTreeMap<RunnerName, Option<RunnerVersion>>,
    /// Number of runners of each version.
    runners: BTreeMap<Option<RunnerVersion>, usize>,
    /// Versions that no runner has any more, and when the last one was seen.
    gone: BTreeMap<Option<RunnerVersion>, MonoTime>,
}

impl VersionHistory {
    /// Creates an empty history. A version is remembered for `memory` after its last
    /// runner.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Sets for how long a version is remembered after its last runner.
    pub fn set_memory(&mut self, memory: Duration) {
        self.memory = memory;
    }

    /// Records a runner and its version.
    pub fn runner_present(
        &mut self,
        now: MonoTime,
        name: &RunnerName,
        version: Option<RunnerVersion>,
    ) {
        if self.present.get(name) == Some(&version) {
            return;
        }
        self.runner_removed(now, name);
        self.gone.remove(&version);
        *self.runners.entry(version.clone()).or_default() += 1;
        self.present.insert(name.clone(), version);
    }

    /// Records that a runner no longer exists.
    pub fn runner_removed(&mut self, now: MonoTime, name: &RunnerName) {
        let Some(version) = self.present.remove(name) else { return };
        let Some(left) = self.runners.get_mut(&version) else { return };
        *left -= 1;
        if *left == 0 {
            self.runners.remove(&version);
            self.gone.insert(version, now);
        }
    }

    /// Records a version that other hosts have seen, and how long ago its last runner
    /// was removed.
    pub fn version_reported(
        &mut self,
        now: MonoTime,
        version: Option<RunnerVersion>,
        gone_for: Duration,
    ) {
        if gone_for > self.memory || self.runners.contains_key(&version) {
            return;
        }
        let gone_at = self.gone.entry(version).or_insert(MonoTime::ZERO);
        *gone_at = (now - gone_for).max(*gone_at);
    }

    /// Returns the versions that may have begun a stream, with the time since the last
    /// runner was removed for those that have none.
    pub fn versions(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (Option<&RunnerVersion>, Option<Duration>)> {
        let present = self.runners.keys().map(|version| (version.as_ref(), None));
        let gone = self.gone.iter().map(move |(version, at)| (version.as_ref(), now.since(*at)));
        let gone = gone.filter(|(_, gone_for)| *gone_for <= self.memory);
        present.chain(gone.map(|(version, gone_for)| (version, Some(gone_for))))
    }

    /// Returns the only version that may have begun a stream, if there is just one and
    /// it is known.
    #[must_use]
    pub fn sole_version(&self, now: MonoTime) -> Option<&RunnerVersion> {
        let mut versions = self.versions(now);
        let (first, _) = versions.next()?;
        first.filter(|_| versions.next().is_none())
    }

    /// Returns true if streams of more than one version may exist.
    #[must_use]
    pub fn is_mixed(&self, now: MonoTime) -> bool {
        self.versions(now).nth(1).is_some()
    }

    /// Forgets versions whose streams can't be taken up any more.
    pub fn expire(&mut self, now: MonoTime) {
        self.gone.retain(|_, at| now.since(*at) <= self.memory);
    }
}
