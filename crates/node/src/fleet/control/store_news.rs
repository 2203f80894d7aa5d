//! What the store says of configuration, runners and hosts.

use std::sync::Arc;

use actix::Context;
use comfreyway_core::{
    fleet::{Member, RunnerNews},
    ids::{HostName, RunnerName},
};
use comfreyway_platform::{KvEvent, Versioned};

use crate::fleet::feed::FeedNews;

use super::FleetControl;

impl FleetControl {
    pub(super) fn plan_news(&mut self, news: FeedNews) {
        match news {
            FeedNews::All(items) => {
                let key = self.dialect.keys.plan;
                if let Some(item) = items.into_iter().find(|item| item.key == key) {
                    self.apply_plan(&item);
                }
            }
            FeedNews::Change(KvEvent::Put(item)) if item.key == self.dialect.keys.plan => {
                self.apply_plan(&item);
            }
            FeedNews::Change(_) => {}
            FeedNews::Proven(at) => {
                if self.plan_readable && self.knowledge.plan().is_some() {
                    self.knowledge.prove(at);
                }
            }
            FeedNews::Lost(e) => log::info!("the configuration can't be followed: {e}"),
            FeedNews::Returned => log::info!("the configuration is followed again"),
        }
    }

    fn apply_plan(&mut self, item: &Versioned) {
        let present = self.knowledge.plan();
        if present.as_ref().is_some_and(|plan| plan.revision >= item.revision.0) {
            return;
        }
        match (self.dialect.read_plan)(&item.value, item.revision.0) {
            Ok(plan) => {
                log::info!("configuration {} at revision {} in force", plan.version, plan.revision);
                let plan = Arc::new(plan);
                self.plan_readable = true;
                self.knowledge.set_plan(plan.clone());
                self.coordinator.set_plan(plan);
            }
            Err(e) => {
                self.plan_readable = false;
                log::error!("configuration at revision {}: {e}", item.revision.0);
            }
        }
    }

    pub(super) fn runner_entries(&mut self, news: FeedNews) {
        let now = self.now();
        let mut out = Vec::new();
        match news {
            FeedNews::All(items) => {
                let entries = items.iter().filter_map(|item| self.read_runner(item)).collect();
                self.directory.list(now, entries, &mut out);
            }
            FeedNews::Change(KvEvent::Put(item)) => match self.read_runner(&item) {
                Some(entry) => self.directory.put(now, entry, &mut out),
                None => {
                    if let Some(name) = self.runner_name(&item.key) {
                        self.directory.vanish(now, &name, &mut out);
                    }
                }
            },
            FeedNews::Change(KvEvent::Delete { key, .. }) => {
                if let Some(name) = self.runner_name(&key) {
                    self.directory.vanish(now, &name, &mut out);
                }
            }
            FeedNews::Proven(_) => {}
            FeedNews::Lost(e) => log::info!("the runners can't be followed: {e}"),
            FeedNews::Returned => {
                log::info!("the runners are followed again");
                self.directory.store_returned(now);
            }
        }
        self.runner_news(out);
    }

    fn runner_name(&self, key: &str) -> Option<RunnerName> {
        RunnerName::new(key.strip_prefix(self.dialect.keys.runners)?).ok()
    }

    fn read_runner(&self, item: &Versioned) -> Option<comfreyway_core::fleet::RunnerEntry> {
        let name = self.runner_name(&item.key)?;
        match (self.dialect.read_runner)(name, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log::warn!("entry {} names no runner to use: {e}", item.key);
                None
            }
        }
    }

    pub(super) fn runner_news(&mut self, news: Vec<RunnerNews>) {
        let now = self.now();
        for news in news {
            match &news {
                RunnerNews::Up(entry) => {
                    log::info!("runner {} of {} may be used", entry.key.name, entry.upstream);
                }
                RunnerNews::Leaving(entry) => log::info!("runner {} is leaving", entry.key.name),
                RunnerNews::Gone(entry) => log::info!("runner {} is gone", entry.key.name),
            }
            let mut tells = Vec::new();
            self.coordinator.runner_news(now, &news, &mut tells);
            self.carry_out(Vec::new(), tells);
        }
    }

    pub(super) fn member_entries(&mut self, news: FeedNews, cx: &mut Context<Self>) {
        match news {
            FeedNews::All(items) => {
                self.members.clear();
                for item in items {
                    self.put_member(&item);
                }
            }
            FeedNews::Change(KvEvent::Put(item)) => self.put_member(&item),
            FeedNews::Change(KvEvent::Delete { key, .. }) => {
                if let Some(name) = self.member_name(&key) {
                    self.members.remove(&name);
                }
            }
            FeedNews::Proven(_) => return,
            FeedNews::Lost(e) => {
                log::info!("the hosts can't be followed: {e}");
                return;
            }
            FeedNews::Returned => return,
        }
        let others = self.members.keys().filter(|name| **name != self.me.id.name).count();
        self.coordinator.set_known_hosts(others + 1);
        self.choose_coordinator(cx);
    }

    fn member_name(&self, key: &str) -> Option<HostName> {
        HostName::new(key.strip_prefix(self.dialect.keys.members)?).ok()
    }

    fn put_member(&mut self, item: &Versioned) {
        let member = serde_json::from_slice::<Member>(&item.value);
        match (self.member_name(&item.key), member) {
            (Some(name), Ok(member)) if name == member.id.name => {
                self.members.insert(name, member);
            }
            _ => log::warn!("entry {} names no host", item.key),
        }
    }

    /// Looks at everything that changes by itself.
    pub(super) fn review(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let mut news = Vec::new();
        self.directory.tick(now, &mut news);
        self.runner_news(news);
        self.choose_coordinator(cx);
        self.arm(cx);
    }
}
