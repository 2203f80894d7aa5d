//! One opinion on each runner, from entries that come and go.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::RunnerName, time::MonoTime};

use super::{RunnerEntry, RunnerKey};

/// Time after the store's return within which a living runner is listed again;
/// the store's operators promise about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// What changed about a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunnerChange {
    /// The runner may be used.
    Usable(RunnerEntry),
    /// The runner gets no new work.
    Leaving(RunnerEntry),
    /// The runner is gone.
    Removed(RunnerEntry),
}

impl RunnerChange {
    /// The runner's entry, for one that is gone the last one.
    #[must_use]
    pub fn entry(&self) -> &RunnerEntry {
        match self {
            Self::Usable(entry) | Self::Leaving(entry) | Self::Removed(entry) => entry,
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    entry: RunnerEntry,
    /// Set while the entry is missing although the runner may be alive.
    missing_since: Option<MonoTime>,
}

/// Runners by name.
#[derive(Debug, Default)]
pub struct RunnerDirectory {
    known: BTreeMap<RunnerName, Known>,
    /// Runs that answered as another runner or as leaving: never used again.
    ended: BTreeMap<RunnerName, RunnerKey>,
    /// Until when a vanished entry may only be lost and not gone.
    lenient_until: Option<MonoTime>,
    /// True once all entries were taken in.
    listed: bool,
}

impl RunnerDirectory {
    /// The store answers again after an outage.
    pub fn store_recovered(&mut self, now: MonoTime) {
        self.lenient_until = Some(now + RETURN_TIME);
    }

    /// Takes in all entries at once.
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

    /// Takes in one written entry.
    pub fn put(&mut self, entry: RunnerEntry, out: &mut Vec<RunnerChange>) {
        if self.ended.get(&entry.key.name) == Some(&entry.key) {
            return;
        }
        let old = self.known.get(&entry.key.name);
        if let Some(old) = old.filter(|old| old.entry.key != entry.key) {
            out.push(RunnerChange::Removed(old.entry.clone()));
        } else if let Some(old) = old {
            if old.entry.leaving && !entry.leaving {
                // The same run never comes back from leaving.
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
        self.known.insert(entry.key.name.clone(), Known { entry, missing_since: None });
    }

    /// Takes in an entry that another host tells of. It counts only before all
    /// entries were listed: from then on a runner that is not known is gone.
    pub fn put_before_listing(&mut self, entry: RunnerEntry, out: &mut Vec<RunnerChange>) {
        if !self.listed && !self.known.contains_key(&entry.key.name) {
            self.put(entry, out);
        }
    }

    /// Takes in that an entry was removed or can't be read.
    pub fn remove(&mut self, now: MonoTime, name: &RunnerName, out: &mut Vec<RunnerChange>) {
        let Some(known) = self.known.get_mut(name) else { return };
        if self.lenient_until.is_some_and(|until| now < until) && !known.entry.leaving {
            known.missing_since.get_or_insert(now);
            return;
        }
        if let Some(known) = self.known.remove(name) {
            out.push(RunnerChange::Removed(known.entry));
        }
    }

    /// The runner itself showed that this run takes no more work.
    pub fn end_run(&mut self, key: &RunnerKey, out: &mut Vec<RunnerChange>) {
        self.ended.insert(key.name.clone(), key.clone());
        if self.known.get(&key.name).is_some_and(|known| known.entry.key == *key)
            && let Some(known) = self.known.remove(&key.name)
        {
            out.push(RunnerChange::Removed(known.entry));
        }
    }

    /// Gives up runners whose entries have not come back in time.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<RunnerChange>) {
        if self.lenient_until.is_none_or(|until| now < until) {
            return;
        }
        self.lenient_until = None;
        let missing = self.known.iter().filter(|(_, known)| known.missing_since.is_some());
        for name in missing.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some(known) = self.known.remove(&name) {
                out.push(RunnerChange::Removed(known.entry));
            }
        }
    }

    /// The entry of a runner that may be used.
    #[must_use]
    pub fn usable(&self, name: &RunnerName) -> Option<&RunnerEntry> {
        self.known.get(name).map(|known| &known.entry).filter(|entry| !entry.leaving)
    }

    /// All known entries.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.known.values().map(|known| &known.entry)
    }
}
