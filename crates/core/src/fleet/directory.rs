//! State of each runner, derived from its entries in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::RunnerName, outcome::RetryReason, time::MonoTime};

use super::{RunnerEntry, RunnerKey, RunnerNotice, runner_notice::RunnerNotices};

/// Time after the store's recovery within which a running runner is listed again.
/// The store's operators promise about two seconds.
const RELISTING_TIME: Duration = Duration::from_millis(2_200);

/// Time for which removed entries are remembered: longer than a copy of the store is
/// old when the store comes back from it.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// A change of a runner's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunnerChange {
    /// The runner accepts requests.
    Usable(RunnerEntry),
    /// The runner accepts no new requests.
    Leaving(RunnerEntry),
    /// The runner no longer exists.
    Removed(RunnerEntry),
}

impl RunnerChange {
    /// Returns the runner's entry, the last known one if it was removed.
    #[must_use]
    pub fn entry(&self) -> &RunnerEntry {
        match self {
            Self::Usable(entry) | Self::Leaving(entry) | Self::Removed(entry) => entry,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownRunner {
    entry: RunnerEntry,
    /// Set while the entry is missing but the runner may be running.
    missing_since: Option<MonoTime>,
}

/// The known runners by name.
#[derive(Debug, Default)]
pub struct RunnerDirectory {
    known: BTreeMap<RunnerName, KnownRunner>,
    /// What runners said in their responses. A run that is leaving or has ended is
    /// never used again.
    notices: RunnerNotices,
    /// Runs whose entries were removed, and when.
    removed: BTreeMap<RunnerName, (RunnerKey, MonoTime)>,
    /// Until then a missing entry does not mean that its runner has ended.
    relisting_until: Option<MonoTime>,
    /// True once a complete listing was applied.
    listed: bool,
}

impl RunnerDirectory {
    /// Records that the store responds again after an outage.
    pub fn store_recovered(&mut self, now: MonoTime) {
        self.relisting_until = Some(now + RELISTING_TIME);
    }

    /// Applies a complete listing of entries. Runners that it lacks are removed.
    pub fn apply_listing(
        &mut self,
        now: MonoTime,
        entries: Vec<RunnerEntry>,
        out: &mut Vec<RunnerChange>,
    ) {
        self.listed = true;
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.key.name.clone()).collect();
        for entry in entries {
            self.put(entry, out);
        }
        let missing = self.known.keys().filter(|name| !listed.contains(name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.remove(now, &name, out);
        }
    }

    /// Adds or updates one entry.
    pub fn put(&mut self, mut entry: RunnerEntry, out: &mut Vec<RunnerChange>) {
        match self.notices.ended(&entry.key) {
            Some(RunnerNotice::Ended(_)) => return,
            Some(_) => entry.leaving = true,
            None => {}
        }
        let old = self.known.get(&entry.key.name);
        // An entry that doesn't name the start of the run may be of another one.
        let other_run = |old: &&KnownRunner| {
            let is_start_known = entry.key.started_ms.is_some();
            let is_other_version = !is_start_known && old.entry.version != entry.version;
            old.entry.key != entry.key || is_other_version
        };
        if let Some(old) = old.filter(other_run) {
            out.push(RunnerChange::Removed(old.entry.clone()));
        } else if let Some(old) = old {
            if old.entry.leaving && !entry.leaving {
                // A run never becomes usable again after leaving.
                return;
            }
            if old.entry == entry {
                if let Some(known) = self.known.get_mut(&entry.key.name) {
                    known.missing_since = None;
                }
                return;
            }
        }
        out.push(match entry.leaving {
            true => RunnerChange::Leaving(entry.clone()),
            false => RunnerChange::Usable(entry.clone()),
        });
        self.known.insert(entry.key.name.clone(), KnownRunner { entry, missing_since: None });
    }

    /// Adds an entry received from another host. Ignored once a complete listing
    /// was applied: a runner that is unknown from then on has been removed.
    pub fn put_before_listing(&mut self, entry: RunnerEntry, out: &mut Vec<RunnerChange>) {
        if !self.listed && !self.known.contains_key(&entry.key.name) {
            self.put(entry, out);
        }
    }

    /// Removes a runner whose entry was deleted or can't be read. For a while
    /// after an outage of the store it is only marked as missing.
    pub fn remove(&mut self, now: MonoTime, name: &RunnerName, out: &mut Vec<RunnerChange>) {
        let Some(known) = self.known.get_mut(name) else { return };
        if self.relisting_until.is_some_and(|until| now < until) && !known.entry.leaving {
            known.missing_since.get_or_insert(now);
            return;
        }
        if let Some(known) = self.known.remove(name) {
            self.removed.insert(name.clone(), (known.entry.key.clone(), now));
            out.push(RunnerChange::Removed(known.entry));
        }
    }

    /// Applies what a runner said in a response, to this host or to another one.
    /// Returns true if it was not known yet.
    pub fn apply_notice(
        &mut self,
        now: MonoTime,
        notice: &RunnerNotice,
        out: &mut Vec<RunnerChange>,
    ) -> bool {
        let key = notice.key();
        let is_new = self.notices.record(now, notice);
        let Some(known) = self.known.get_mut(&key.name).filter(|known| known.entry.key == *key)
        else {
            return is_new;
        };
        match notice {
            RunnerNotice::Rest(..) => {}
            RunnerNotice::Leaving(_) if known.entry.leaving => {}
            RunnerNotice::Leaving(_) => {
                known.entry.leaving = true;
                out.push(RunnerChange::Leaving(known.entry.clone()));
            }
            RunnerNotice::Ended(_) => {
                if let Some(known) = self.known.remove(&key.name) {
                    out.push(RunnerChange::Removed(known.entry));
                }
            }
        }
        is_new
    }

    /// Removes runners whose entries were not listed again in time.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<RunnerChange>) {
        self.notices.tick(now);
        self.removed.retain(|_, (_, at)| now.since(*at) < REMOVAL_MEMORY);
        if self.relisting_until.is_none_or(|until| now < until) {
            return;
        }
        self.relisting_until = None;
        let missing = self.known.iter().filter(|(_, known)| known.missing_since.is_some());
        for name in missing.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some(known) = self.known.remove(&name) {
                out.push(RunnerChange::Removed(known.entry));
            }
        }
    }

    /// Returns true if this run's entry was removed a short time ago.
    #[must_use]
    pub fn was_removed(&self, key: &RunnerKey) -> bool {
        self.removed.get(&key.name).is_some_and(|(removed, _)| removed == key)
    }

    /// Returns the entry of a runner that accepts requests.
    #[must_use]
    pub fn usable(&self, name: &RunnerName) -> Option<&RunnerEntry> {
        self.known.get(name).map(|known| &known.entry).filter(|entry| !entry.leaving)
    }

    /// Returns the entry of a runner that this host may send a request to now.
    ///
    /// # Errors
    ///
    /// Fails if the runner accepts no requests, or none of this host. The notice
    /// says so, if the runner itself did.
    pub fn dispatchable(
        &self,
        now: MonoTime,
        name: &RunnerName,
    ) -> Result<&RunnerEntry, (RetryReason, Option<RunnerNotice>)> {
        let Some(entry) = self.known.get(name).map(|known| &known.entry) else {
            return Err((RetryReason::RunnerLeaving, None));
        };
        if entry.leaving {
            return Err((RetryReason::RunnerLeaving, self.notices.ended(&entry.key).cloned()));
        }
        match self.notices.rest(now, &entry.key) {
            Some(left) => {
                let notice = RunnerNotice::Rest(entry.key.clone(), left);
                Err((RetryReason::RunnerResting, Some(notice)))
            }
            None => Ok(entry),
        }
    }

    /// Returns what known runs said of their end, for a host that was not told.
    pub fn leaving_notices(&self) -> impl Iterator<Item = &RunnerNotice> {
        self.known.values().filter_map(|known| self.notices.ended(&known.entry.key))
    }

    /// Returns the entries of all known runners.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.known.values().map(|known| &known.entry)
    }
}
