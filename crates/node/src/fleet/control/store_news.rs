//! What the store says of configuration, runners and hosts.

use std::{collections::BTreeMap, sync::Arc};

use actix::Context;
use comfreyway_core::{
    fleet::{Member, RunnerChange, RunnerEntry},
    ids::{HostName, RunnerName, UpstreamName},
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, Versioned};

use crate::{
    events::{Event, log_event},
    fleet::feed::FeedNews,
};

use super::FleetControl;

/// Most new runners that are logged one by one: a host that starts before
/// thousands of them has better to do.
const MAX_RUNNER_LINES: usize = 16;

impl FleetControl {
    /// Takes in what the store, or the coordinator in its place, says.
    pub(super) fn store_news(&mut self, news: FeedNews) {
        let now = self.now();
        match news {
            FeedNews::Part(items, asked) => self.apply_part(items, asked),
            FeedNews::All(items, at) => {
                if at < self.mirror.at() {
                    return;
                }
                let before = self.mirror.at();
                self.mirror.replace(&items, at);
                self.apply_all(&items);
                self.pass_all_on(before);
            }
            FeedNews::Changes(mut events, at) => {
                events.retain(|event| self.mirror.is_news(event));
                let before = self.mirror.at();
                self.mirror.change(&events, at);
                for event in &events {
                    self.apply_change(event);
                }
                self.pass_on(&events, before, at);
            }
            FeedNews::Proven(at) => {
                if self.plan_readable && self.knowledge.plan().is_some() {
                    self.knowledge.prove(at);
                }
            }
            FeedNews::Lost(e) => log_event!(Event::StoreWatchLost, cause:% = e),
            FeedNews::Returned => {
                log_event!(Event::StoreWatchRestored, revision = self.mirror.at().0);
                self.directory.store_recovered(now);
            }
        }
    }

    /// Takes in the first part of a list, so that this host can serve while the
    /// rest is read. What is missing from it is not gone.
    fn apply_part(&mut self, mut items: Vec<Versioned>, asked: MonoTime) {
        let keys = self.format.keys;
        items.retain(|item| self.mirror.is_news(&KvEvent::Put(item.clone())));
        let plan = items.iter().find(|item| item.key == keys.config);
        if let Some(item) = plan {
            self.apply_plan(item);
        }
        let shows_plan = plan.is_some();
        let runners = items.iter().filter(|item| item.key.starts_with(keys.runners));
        let entries: Vec<_> = runners.filter_map(|item| self.read_runner(item)).collect();
        let mut news = Vec::new();
        entries.into_iter().for_each(|entry| self.directory.put(entry, &mut news));
        self.runner_news(news);
        for item in items.iter().filter(|item| item.key.starts_with(keys.members)) {
            self.put_member(item);
        }
        self.members_changed();
        if shows_plan {
            self.store_news(FeedNews::Proven(asked));
        }
    }

    fn apply_all(&mut self, items: &[Versioned]) {
        let keys = self.format.keys;
        if let Some(item) = items.iter().find(|item| item.key == keys.config) {
            self.apply_plan(item);
        }
        let runners = items.iter().filter(|item| item.key.starts_with(keys.runners));
        let entries = runners.filter_map(|item| self.read_runner(item)).collect();
        let mut out = Vec::new();
        self.directory.apply_listing(self.now(), entries, &mut out);
        self.runner_news(out);
        self.members.clear();
        for item in items.iter().filter(|item| item.key.starts_with(keys.members)) {
            self.put_member(item);
        }
        self.members_changed();
    }

    fn apply_change(&mut self, event: &KvEvent) {
        let keys = self.format.keys;
        if event.key().starts_with(keys.runners) {
            self.apply_runner(event);
        } else if event.key().starts_with(keys.members) {
            match event {
                KvEvent::Put(item) => self.put_member(item),
                KvEvent::Delete { key, .. } => {
                    if let Some(name) = self.member_name(key) {
                        self.members.remove(&name);
                    }
                }
            }
            self.members_changed();
        } else if let KvEvent::Put(item) = event
            && item.key == keys.config
        {
            self.apply_plan(item);
        }
    }

    fn apply_plan(&mut self, item: &Versioned) {
        let present = self.knowledge.plan();
        if present.as_ref().is_some_and(|plan| plan.revision >= item.revision.0) {
            return;
        }
        match (self.format.read_config)(&item.value, item.revision.0) {
            Ok(plan) => {
                let plan = Arc::new(plan);
                self.plan_readable = true;
                self.knowledge.set_plan(plan.clone());
                self.coordinator.set_config(plan.clone());
                // Whoever reads the line may rely on it.
                log_event!(
                    Event::FleetConfigInForce,
                    version = plan.version,
                    revision = plan.revision
                );
            }
            Err(e) => {
                self.plan_readable = false;
                log_event!(Event::FleetConfigUnreadable, revision = item.revision.0, cause:% = e);
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
        self.runner_news(out);
    }

    fn runner_name(&self, key: &str) -> Option<RunnerName> {
        RunnerName::new(key.strip_prefix(self.format.keys.runners)?).ok()
    }

    fn read_runner(&self, item: &Versioned) -> Option<RunnerEntry> {
        let name = self.runner_name(&item.key)?;
        match (self.format.read_runner)(name, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = e);
                None
            }
        }
    }

    pub(super) fn runner_news(&mut self, news: Vec<RunnerChange>) {
        log_runners(&news);
        let now = self.now();
        let mut tells = Vec::new();
        self.coordinator.apply_runner_changes(now, &news, &mut tells);
        self.carry_out(Vec::new(), tells);
    }

    fn members_changed(&mut self) {
        let others = self.members.keys().filter(|name| **name != self.me.id.name).count();
        self.coordinator.set_known_hosts(self.now(), others + 1);
        self.knowledge.set_hosts(others + 1);
        self.choose_coordinator();
    }

    fn member_name(&self, key: &str) -> Option<HostName> {
        HostName::new(key.strip_prefix(self.format.keys.members)?).ok()
    }

    fn put_member(&mut self, item: &Versioned) {
        let member = serde_json::from_slice::<Member>(&item.value);
        match (self.member_name(&item.key), member) {
            (Some(name), Ok(member)) if name == member.id.name => {
                self.members.insert(name, member);
            }
            _ => log_event!(
                Event::EntryUnreadable,
                key = item.key.as_str(),
                cause = "it names no host"
            ),
        }
    }

    /// Looks at everything that changes by itself.
    pub(super) fn review(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let mut news = Vec::new();
        self.directory.tick(now, &mut news);
        self.runner_news(news);
        self.choose_coordinator();
        self.review_feed();
        self.review_role();
        self.arm(cx);
    }
}

/// Tells of each runner; of new ones together if they are many.
fn log_runners(news: &[RunnerChange]) {
    let is_new = |news: &&RunnerChange| matches!(news, RunnerChange::Usable(_));
    if news.iter().filter(is_new).count() <= MAX_RUNNER_LINES {
        news.iter().for_each(log_runner);
        return;
    }
    let mut counts: BTreeMap<&UpstreamName, usize> = BTreeMap::new();
    for news in news {
        match news {
            RunnerChange::Usable(entry) => *counts.entry(&entry.upstream).or_default() += 1,
            RunnerChange::Leaving(_) | RunnerChange::Removed(_) => log_runner(news),
        }
    }
    for (upstream, runners) in counts {
        log_event!(Event::RunnersUsable, upstream:% = upstream, runners = runners);
    }
}

fn log_runner(news: &RunnerChange) {
    let RunnerEntry { key, upstream, slots: places, .. } = news.entry();
    let (runner, places) = (&key.name, *places);
    match news {
        RunnerChange::Usable(_) => log_event!(
            Event::RunnerUsable,
            runner:% = runner,
            upstream:% = upstream,
            places = places
        ),
        RunnerChange::Leaving(_) => {
            log_event!(Event::RunnerLeaving, runner:% = runner, upstream:% = upstream);
        }
        RunnerChange::Removed(_) => {
            log_event!(Event::RunnerRemoved, runner:% = runner, upstream:% = upstream);
        }
    }
}
