//! Handles a store that comes back from an older copy.
//!
//! The store then begins a new era and has lost its last changes, leases too. Hosts,
//! runners and operators write again what they lack. Until they have, what this host
//! knows of them is kept where the copy is older:
//!
//! - A configuration never goes back to an earlier version, so a revoked API key
//!   stays revoked.
//! - A run that was leaving or gone stays so until its runner writes again.
//! - Hosts and runners that are missing from the copy are kept for a while.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{fleet::RunnerEntry, ids::HostName, time::MonoTime};
use comfreyway_platform::{Revision, Versioned};

use crate::{
    events::{Event, log_event},
    fleet::{mirror::MirroredItem, wire::ToHost},
};

use super::FleetControl;

/// Time within which all running hosts have registered again: some renewals of
/// their leases.
const HOST_RELISTING_TIME: Duration = Duration::from_millis(4_000);

/// Hosts that are missing from the store since it came back from an older copy.
#[derive(Debug, Default)]
pub(super) struct MissingHosts {
    until: Option<MonoTime>,
    names: Vec<HostName>,
}

impl MissingHosts {
    /// Returns true if a host whose entry is missing may still be running.
    pub(super) fn is_relisting(&self, now: MonoTime) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(super) fn add(&mut self, name: HostName) {
        if !self.names.contains(&name) {
            self.names.push(name);
        }
    }

    pub(super) fn remove(&mut self, name: &HostName) {
        self.names.retain(|missing| missing != name);
    }
}

impl FleetControl {
    /// Prepares for updates of the store in the era of `revision`, if that is new.
    pub(super) fn enter_era(&mut self, now: MonoTime, revision: Revision) {
        if revision.era() <= self.store_era {
            return;
        }
        self.store_era = revision.era();
        let known = self.mirror.revision();
        if known.0 == 0 {
            self.unstored_streams.enter_era(self.store_era);
            return;
        }
        log_event!(Event::StoreRolledBack, era = revision.era(), known:% = known);
        self.metrics.store_rolled_back();
        self.directory.store_recovered(now);
        self.missing_hosts.until = Some(now + HOST_RELISTING_TIME);
    }

    /// Replaces the entries of an older copy of the store by newer ones that were
    /// known before.
    pub(super) fn keep_newer_entries(&mut self, mut items: Vec<Versioned>) -> Vec<Versioned> {
        let keys = self.format.keys;
        let known_config = self.mirror.get(keys.config);
        if known_config.is_some() && !items.iter().any(|item| item.key == keys.config) {
            items.extend(known_config.cloned());
        }
        items.retain(|item| !self.is_removed_run(item));
        let mut config_is_older = false;
        for item in &mut items {
            let Some(known) = self.mirror.get(&item.key) else { continue };
            if item.key == keys.config {
                config_is_older = self.config_version(item) < self.config_version(known);
                if config_is_older {
                    item.value.clone_from(&known.value);
                }
            } else if item.key.starts_with(keys.runners) && self.is_older_run(item, known) {
                item.value.clone_from(&known.value);
            }
        }
        self.stored_config_is_older = config_is_older;
        items
    }

    pub(super) fn config_version(&self, item: &Versioned) -> Option<u64> {
        (self.format.read_config)(&item.value, item.revision.0).ok().map(|config| config.version)
    }

    fn is_removed_run(&self, item: &Versioned) -> bool {
        item.key.starts_with(self.format.keys.runners)
            && self.mirror.get(&item.key).is_none()
            && self.read_runner(item).is_some_and(|entry| self.directory.was_removed(&entry.key))
    }

    fn is_older_run(&self, item: &Versioned, known: &Versioned) -> bool {
        let (Some(listed), Some(known)) = (self.read_runner(item), self.read_runner(known)) else {
            return false;
        };
        let RunnerEntry { key, leaving, .. } = known;
        if listed.key == key { leaving && !listed.leaving } else { listed.key < key }
    }

    /// Removes the hosts that have not registered again in time.
    pub(super) fn remove_missing_hosts(&mut self, now: MonoTime) {
        if self.missing_hosts.until.is_none_or(|until| now < until) {
            return;
        }
        self.missing_hosts.until = None;
        let missing = std::mem::take(&mut self.missing_hosts.names);
        if !missing.is_empty() {
            let gone: BTreeMap<_, _> = missing.into_iter().map(|name| (name, ())).collect();
            self.members.retain(|name, _| !gone.contains_key(name));
            self.members_changed();
        }
    }

    /// Returns the configuration in force as a message, if the store has only an
    /// older one.
    pub(super) fn newer_config(&self) -> Option<ToHost> {
        if !self.stored_config_is_older {
            return None;
        }
        let item = self.mirror.get(self.format.keys.config)?;
        Some(ToHost::Config(MirroredItem::from(item)))
    }

    /// Applies a configuration that the coordinator knows and the store has lost.
    pub(super) fn apply_newer_config(&mut self, item: &Versioned) {
        let version = self.host_state.config().map(|config| config.version);
        if self.config_version(item) > version {
            self.set_config(item);
            self.stored_config_is_older = true;
        }
    }
}
