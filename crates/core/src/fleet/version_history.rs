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
/// use comfreyway_core::{
///     fleet::{RunnerVersion, VersionHistory},
///     time::MonoTime,
/// };
///
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// let (v1, v2) = (RunnerVersion::new("v1"), RunnerVersion::new("v2"));
/// let at = MonoTime::from_millis;
/// let mut history = VersionHistory::default();
/// history.runner_present(at(0), &a, v1.clone(), at(0));
/// assert_eq!(history.sole_version(at(0)), v1.as_ref());
/// history.runner_present(at(1), &b, v2.clone(), at(1));
/// history.runner_removed(at(2), &a, at(10_000));
/// assert_eq!(history.sole_version(at(10_000)), None);
/// assert_eq!(history.sole_version(at(10_001)), v2.as_ref());
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    present: BTreeMap<RunnerName, Option<RunnerVersion>>,
    /// Number of runners of each version.
    runners: BTreeMap<Option<RunnerVersion>, usize>,
    /// Versions that no runner has any more.
    gone: BTreeMap<Option<RunnerVersion>, Gone>,
}

#[derive(Clone, Copy, Debug)]
struct Gone {
    at: MonoTime,
    keep_until: MonoTime,
}

/// A version whose last runner was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GoneVersion {
    /// Time since the last runner was removed.
    pub gone_for: Duration,
    /// Time for which its streams may still be taken up.
    pub time_left: Duration,
}

impl VersionHistory {
    /// Records a runner and its version. If it had another one before, the streams of that
    /// one are remembered until `keep_until`.
    pub fn runner_present(
        &mut self,
        now: MonoTime,
        name: &RunnerName,
        version: Option<RunnerVersion>,
        keep_until: MonoTime,
    ) {
        if self.present.get(name) == Some(&version) {
            return;
        }
        self.runner_removed(now, name, keep_until);
        self.gone.remove(&version);
        *self.runners.entry(version.clone()).or_default() += 1;
        self.present.insert(name.clone(), version);
    }

    /// Records that a runner no longer exists. The streams of its version are remembered
    /// until `keep_until`.
    pub fn runner_removed(&mut self, now: MonoTime, name: &RunnerName, keep_until: MonoTime) {
        let Some(version) = self.present.remove(name) else { return };
        let Some(left) = self.runners.get_mut(&version) else { return };
        *left -= 1;
        if *left == 0 {
            self.runners.remove(&version);
            self.gone.insert(version, Gone { at: now, keep_until });
        }
    }

    /// Records a version that other hosts have seen, how long ago its last runner was
    /// removed, and until when its streams are remembered.
    pub fn version_reported(
        &mut self,
        now: MonoTime,
        version: Option<RunnerVersion>,
        gone_for: Duration,
        keep_until: MonoTime,
    ) {
        if keep_until < now || self.runners.contains_key(&version) {
            return;
        }
        let at = now - gone_for;
        let gone = self.gone.entry(version).or_insert(Gone { at, keep_until });
        gone.at = gone.at.max(at);
        gone.keep_until = gone.keep_until.max(keep_until);
    }

    /// Returns the versions that may have begun a stream, and since when those without
    /// runners have none.
    pub fn versions(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (Option<&RunnerVersion>, Option<GoneVersion>)> {
        let present = self.runners.keys().map(|version| (version.as_ref(), None));
        let gone = self.gone.iter().filter(move |(_, gone)| now <= gone.keep_until);
        let gone = gone.map(move |(version, Gone { at, keep_until })| {
            let (gone_for, time_left) = (now.since(*at), keep_until.since(now));
            (version.as_ref(), Some(GoneVersion { gone_for, time_left }))
        });
        present.chain(gone)
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

    /// Forgets versions whose streams can't be taken up any more, and returns these.
    pub fn expire(&mut self, now: MonoTime) -> impl Iterator<Item = Option<RunnerVersion>> {
        let expired = self.gone.extract_if(.., move |_, gone| now > gone.keep_until);
        expired.map(|(version, _)| version)
    }
}
