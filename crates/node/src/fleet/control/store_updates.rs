//! Applies the store's changes to the configuration, the runners and the hosts.

use std::{collections::BTreeMap, sync::Arc};

use comfreyway_core::{
    fleet::{Member, RunnerChange, RunnerEntry},
    ids::{HostName, RunnerName, UpstreamName},
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Revision, Versioned};

use crate::{
    events::{Event, log_event},
    fleet::{feed::FeedUpdate, forward::ForwardHost},
};

use super::{FirstFeed, FleetControl};

/// Maximum number of new runners that are logged one by one; a starting host
/// may list thousands, which are summed up by upstream.
const MAX_RUNNER_LINES: usize = 16;

impl FleetControl {
    /// Applies an update of the store, read by this host or sent by the
    /// coordinator.
    pub(super) fn apply_update(&mut self, update: FeedUpdate) {
        let now = self.now();
        match update {
            FeedUpdate::FirstPage(mut items, requested_at) => {
                if let Some(item) = items.first() {
                    self.enter_era(now, item.revision);
                }
                self.take_stream_items(&mut items);
                self.apply_first_page(items, requested_at)
            }
            FeedUpdate::Listing(mut items, revision) => {
                if revision < self.mirror.revision() {
                    return;
                }
                self.enter_era(now, revision);
                if revision.era() > self.mirror.revision().era() {
                    items = self.keep_newer_entries(items);
                }
                self.take_stream_items(&mut items);
                let before = self.mirror.revision();
                self.mirror.replace(&items, revision);
                self.apply_listing(&items);
                self.forward_listing(before);
                if self.first_feed == FirstFeed::Started {
                    self.first_feed = FirstFeed::Listed;
                }
                self.stop_first_feed();
            }
            FeedUpdate::Changes(mut events, revision) => {
                self.enter_era(now, revision);
                self.take_stream_changes(&mut events);
                events.retain(|event| self.mirror.is_newer(event));
                self.first_feed = FirstFeed::Ended;
                let before = self.mirror.revision();
                self.mirror.apply(&events, revision);
                for event in &events {
                    self.apply_change(event);
                }
                self.forward_changes(&events, before, revision);
            }
            FeedUpdate::Verified(at) => self.set_verified(at),
            FeedUpdate::CallFailed(e) => log_event!(Event::StoreWatchLost, cause:% = e),
            FeedUpdate::Recovered => {
                log_event!(Event::StoreWatchRestored, revision:% = self.mirror.revision());
                self.directory.store_recovered(now);
            }
        }
    }

    /// Applies the first page of a listing, so that this host can serve while
    /// the rest is read. Entries that are missing from it are not removed.
    fn apply_first_page(&mut self, mut items: Vec<Versioned>, requested_at: MonoTime) {
        let keys = self.format.keys;
        items.retain(|item| self.mirror.is_newer(&KvEvent::Put(item.clone())));
        if items.first().is_some_and(|item| item.revision.era() > self.mirror.revision().era()) {
            items = self.keep_newer_entries(items);
        }
        let config = items.iter().find(|item| item.key == keys.config);
        if let Some(item) = config {
            self.apply_config(item);
        }
        let has_config = config.is_some();
        if let Some(item) = items.iter().find(|item| item.key == keys.versions) {
            self.learn_version_record(item);
        }
        self.apply_quarantine_items(&items);
        let runners = items.iter().filter(|item| item.key.starts_with(keys.runners));
        let entries: Vec<_> = runners.filter_map(|item| self.read_runner(item)).collect();
        let mut changes = Vec::new();
        entries.into_iter().for_each(|entry| self.directory.put(entry, &mut changes));
        self.apply_runner_changes(changes);
        for item in items.iter().filter(|item| item.key.starts_with(keys.members)) {
            self.put_member(item);
        }
        self.members_changed();
        // Later pages may hold further runners, so only the configuration is verified.
        if has_config && self.config_readable && self.host_state.config().is_some() {
            self.host_state.set_verified(requested_at);
        }
    }

    fn apply_listing(&mut self, items: &[Versioned]) {
        let keys = self.format.keys;
        if let Some(item) = items.iter().find(|item| item.key == keys.config) {
            self.apply_config(item);
        }
        if let Some(item) = items.iter().find(|item| item.key == keys.versions) {
            self.learn_version_record(item);
        }
        self.quarantine_items.clear();
        self.apply_quarantine_items(items);
        self.apply_listed_rollouts(items);
        let runners = items.iter().filter(|item| item.key.starts_with(keys.runners));
        let entries = runners.filter_map(|item| self.read_runner(item)).collect();
        let mut out = Vec::new();
        self.directory.apply_listing(self.now(), entries, &mut out);
        self.apply_runner_changes(out);
        if self.missing_hosts.is_relisting(self.now()) {
            let names: Vec<_> = self.members.keys().cloned().collect();
            names.into_iter().for_each(|name| self.missing_hosts.add(name));
        } else {
            self.members.clear();
        }
        for item in items.iter().filter(|item| item.key.starts_with(keys.members)) {
            self.put_member(item);
        }
        self.members_changed();
    }

    fn apply_change(&mut self, event: &KvEvent) {
        let keys = self.format.keys;
        if event.key().starts_with(keys.runners) {
            self.apply_runner(event);
        } else if self.is_rollout_key(event.key()) {
            self.apply_rollout_change(event.key());
        } else if event.key().starts_with(keys.members) {
            match event {
                KvEvent::Put(item) => self.put_member(item),
                KvEvent::Delete { key, .. } => {
                    if let Some(name) = self.member_name(key) {
                        if self.missing_hosts.is_relisting(self.now()) {
                            self.missing_hosts.add(name);
                        } else {
                            self.members.remove(&name);
                        }
                    }
                }
            }
            self.members_changed();
        } else if let KvEvent::Put(item) = event
            && item.key == keys.config
        {
            self.stored_config_is_older = false;
            self.apply_config(item);
        } else if let KvEvent::Put(item) = event
            && item.key == keys.versions
        {
            self.learn_version_record(item);
        } else if let KvEvent::Put(item) = event {
            self.apply_quarantine_items(std::slice::from_ref(item));
        } else if let KvEvent::Delete { key, .. } = event {
            self.forget_quarantine_item(key);
        }
    }

    fn apply_quarantine_items(&mut self, items: &[Versioned]) {
        let prefix = self.format.keys.quarantine;
        for item in items.iter().filter(|item| item.key.starts_with(prefix)) {
            self.apply_quarantine_item(item);
        }
    }

    fn apply_config(&mut self, item: &Versioned) {
        if let Some(current) = self.host_state.config() {
            if current.revision >= item.revision.0 {
                return;
            }
            // The store came back from an older copy. The operators write again
            // what it has lost.
            let new_era = Revision(current.revision).era() < item.revision.era();
            let version = self.config_version(item);
            if new_era && version.is_some_and(|version| version < current.version) {
                log_event!(
                    Event::FleetConfigOlder,
                    version = version,
                    in_force = current.version,
                    revision:% = item.revision
                );
                return;
            }
        }
        self.set_config(item);
    }

    pub(super) fn set_config(&mut self, item: &Versioned) {
        match (self.format.read_config)(&item.value, item.revision.0) {
            Ok(config) => {
                let config = Arc::new(config);
                self.config_readable = true;
                self.host_state.set_config(config.clone());
                self.coordinator.set_config(self.now(), config.clone());
                // Logged last: a reader of the line may rely on the
                // configuration being in force.
                log_event!(
                    Event::FleetConfigInForce,
                    version = config.version,
                    revision:% = item.revision
                );
            }
            Err(e) => {
                self.config_readable = false;
                log_event!(Event::FleetConfigUnreadable, revision:% = item.revision, cause:% = e);
            }
        }
    }

    fn apply_runner(&mut self, event: &KvEvent) {
        let Some(name) = self.runner_name(event.key()) else { return };
        let entry = match event {
            KvEvent::Put(item) => self.read_runner(item),
            KvEvent::Delete { .. } => None,
        };
        let (now, mut out) = (self.now(), Vec::new());
        match entry {
            Some(entry) => self.directory.put(entry, &mut out),
            None => self.directory.remove(now, &name, &mut out),
        }
        self.apply_runner_changes(out);
    }

    fn runner_name(&self, key: &str) -> Option<RunnerName> {
        RunnerName::new(key.strip_prefix(self.format.keys.runners)?).ok()
    }

    pub(super) fn read_runner(&self, item: &Versioned) -> Option<RunnerEntry> {
        let name = self.runner_name(&item.key)?;
        match (self.format.read_runner)(name, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = e);
                None
            }
        }
    }

    pub(super) fn apply_runner_changes(&mut self, changes: Vec<RunnerChange>) {
        log_runner_changes(&changes);
        let now = self.now();
        let mut replies = Vec::new();
        self.coordinator.apply_runner_changes(now, &changes, &mut replies);
        self.execute(Vec::new(), replies);
    }

    pub(super) fn members_changed(&mut self) {
        let names = self.members.keys().chain([&self.me.id.name]);
        self.coordinator.set_registered_hosts(self.now(), names);
        self.host_state.set_hosts(self.coordinator.share_basis().known);
        let others = self.members.values().filter(|member| member.id.name != self.me.id.name);
        self.host_state.set_forward_hosts(others.filter_map(ForwardHost::new).collect());
        self.update_own_entry();
        self.choose_coordinator();
    }

    fn member_name(&self, key: &str) -> Option<HostName> {
        HostName::new(key.strip_prefix(self.format.keys.members)?).ok()
    }

    fn put_member(&mut self, item: &Versioned) {
        let member = serde_json::from_slice::<Member>(&item.value);
        match (self.member_name(&item.key), member) {
            (Some(name), Ok(member)) if name == member.id.name => {
                self.missing_hosts.remove(&name);
                self.members.insert(name, member);
            }
            _ => log_event!(
                Event::EntryUnreadable,
                key = item.key.as_str(),
                cause = "not a valid host entry"
            ),
        }
    }

    /// Runs the periodic checks.
    pub(super) fn run_checks(&mut self) {
        let now = self.now();
        let mut changes = Vec::new();
        self.directory.tick(now, &mut changes);
        self.apply_runner_changes(changes);
        self.remove_missing_hosts(now);
        self.choose_coordinator();
        self.update_absent_hosts(now);
        self.copy_streams();
        self.share_suspects();
        self.store_quarantine();
        self.expire_limits();
        self.update_version_record();
        self.update_rollouts();
        self.host_state.set_hosts(self.coordinator.share_basis().known);
        self.log_share();
        self.start_feed_if_stale();
        self.step_down_if_stale();
    }
}

/// Logs each change of a runner; many new runners are summed up by upstream.
fn log_runner_changes(changes: &[RunnerChange]) {
    let is_new = |change: &&RunnerChange| matches!(change, RunnerChange::Usable(_));
    if changes.iter().filter(is_new).count() <= MAX_RUNNER_LINES {
        changes.iter().for_each(log_runner_change);
        return;
    }
    let mut counts: BTreeMap<&UpstreamName, usize> = BTreeMap::new();
    for change in changes {
        match change {
            RunnerChange::Usable(entry) => *counts.entry(&entry.upstream).or_default() += 1,
            RunnerChange::Leaving(_) | RunnerChange::Removed(_) => log_runner_change(change),
        }
    }
    for (upstream, runners) in counts {
        log_event!(Event::RunnersUsable, upstream:% = upstream, runners = runners);
    }
}

fn log_runner_change(change: &RunnerChange) {
    let RunnerEntry { key, upstream, slots, .. } = change.entry();
    let (runner, slots) = (&key.name, *slots);
    match change {
        RunnerChange::Usable(_) => log_event!(
            Event::RunnerUsable,
            runner:% = runner,
            upstream:% = upstream,
            places = slots
        ),
        RunnerChange::Leaving(_) => {
            log_event!(Event::RunnerLeaving, runner:% = runner, upstream:% = upstream);
        }
        RunnerChange::Removed(_) => {
            log_event!(Event::RunnerRemoved, runner:% = runner, upstream:% = upstream);
        }
    }
}
