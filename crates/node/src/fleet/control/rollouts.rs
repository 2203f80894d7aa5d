//! Rollouts to other versions, as far as the store keeps them.
//!
//! Three items belong to each: the operators' order, its status, and what coordinators keep
//! for the next one: when the order was first seen, and what the target version got. The
//! status is the only truth over all hosts. It is written by compare-and-swap, so of two
//! coordinators that decide at the same time only one does so, and the other follows. A
//! write without a reply is repeated: it can't take effect twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use comfreyway_core::{
    fleet::{Rollout, RolloutPhase, RolloutProgress, RolloutState, RunnerVersion},
    ids::UpstreamName,
    time::MonoTime,
};
use comfreyway_platform::{Revision, Versioned};
use serde::{Deserialize, Serialize};

use crate::{
    events::{Event, Optional, log_event},
    fleet::wall_clock::unix_ms,
};

use super::FleetControl;

/// Minimum time between two writes of a status.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two writes of what the next coordinator needs to know.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What coordinators keep in the store for the next one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
struct ProgressRecord {
    /// Revision of the order.
    order: u64,
    /// When the order was first seen, in milliseconds since the Unix epoch.
    seen_ms: u64,
    granted: f64,
    exposed: f64,
    former: Vec<RunnerVersion>,
}

/// What this host knows of an upstream's rollout beside its own coordinator.
#[derive(Debug, Default)]
pub(super) struct RolloutItems {
    /// Revision of the status, if it was read by itself; that of the mirror otherwise.
    status_revision: Option<Revision>,
    seen_ms: u64,
    status_written: Option<MonoTime>,
    progress_written: Option<MonoTime>,
    logged: Option<RolloutPhase>,
}

impl FleetControl {
    /// Returns true if a key belongs to rollouts.
    pub(super) fn is_rollout_key(&self, key: &str) -> bool {
        self.upstream_of_rollout(key).is_some()
    }

    fn upstream_of_rollout(&self, key: &str) -> Option<UpstreamName> {
        let keys = self.format.keys;
        let prefixes = [keys.rollout_orders, keys.rollout_statuses, keys.rollouts];
        let name = prefixes.iter().find_map(|prefix| key.strip_prefix(prefix))?;
        UpstreamName::new(name).ok()
    }

    /// Applies the items of all rollouts after a listing.
    pub(super) fn apply_listed_rollouts(&mut self, items: &[Versioned]) {
        let listed = items.iter().filter_map(|item| self.upstream_of_rollout(&item.key));
        let known = self.coordinator.rollouts().map(|(upstream, _)| upstream.clone());
        let upstreams: BTreeSet<_> = listed.chain(known).collect();
        for upstream in upstreams {
            self.apply_rollout(&upstream, true);
        }
    }

    /// Applies a change of one of the items of a rollout.
    pub(super) fn apply_rollout_change(&mut self, key: &str) {
        let Some(upstream) = self.upstream_of_rollout(key) else { return };
        if key.starts_with(self.format.keys.rollout_statuses) {
            self.rollout_items.entry(upstream.clone()).or_default().status_revision = None;
        }
        self.apply_rollout(&upstream, false);
    }

    fn apply_rollout(&mut self, upstream: &UpstreamName, is_listed: bool) {
        let keys = self.format.keys;
        let item = |prefix: &str| self.mirror.get(&format!("{prefix}{upstream}")).cloned();
        let (order, status) = (item(keys.rollout_orders), item(keys.rollout_statuses));
        let progress = item(keys.rollouts);
        let order = order.and_then(|item| {
            let order = (self.format.read_rollout)(upstream, &item.value, item.revision.0);
            order.map_err(|e| log_unreadable(&item, &e)).ok()
        });
        let revision = order.as_ref().map_or(0, |order| order.revision);
        let record = progress.and_then(|item| {
            let record = serde_json::from_slice::<ProgressRecord>(&item.value);
            record.map_err(|e| log_unreadable(&item, &e)).ok()
        });
        let record = record.filter(|record| record.order == revision);
        let now_ms = unix_ms();
        // An order that came as a change is new; one that was listed may be old.
        let seen_ms = record.as_ref().filter(|_| is_listed).map_or(now_ms, |r| r.seen_ms);
        let elapsed = Duration::from_millis(now_ms.saturating_sub(seen_ms));
        let elapsed = elapsed.min(order.as_ref().map_or(Duration::ZERO, |order| order.duration));
        let progress = record.map_or_else(RolloutProgress::default, |record| RolloutProgress {
            granted: record.granted,
            exposed: record.exposed,
            former: record.former,
        });
        let now = self.now();
        let is_known = self
            .coordinator
            .rollouts()
            .any(|(name, rollout)| name == upstream && Some(rollout.order()) == order.as_ref());
        if !is_known {
            if let Some(order) = &order {
                log_event!(
                    Event::RolloutOrdered,
                    upstream:% = upstream,
                    target:% = order.target,
                    duration_ms = order.duration.as_millis() as u64,
                    elapsed_ms = elapsed.as_millis() as u64,
                    revision:% = Revision(order.revision)
                );
            }
            let items = self.rollout_items.entry(upstream.clone()).or_default();
            *items = RolloutItems { seen_ms, ..RolloutItems::default() };
        }
        self.coordinator.set_rollout_order(now, upstream, order, elapsed, &progress);
        self.apply_status(upstream, status);
    }

    /// Applies the status of an upstream's rollout. One that was written before the order
    /// is that of a former order, perhaps to the same version.
    fn apply_status(&mut self, upstream: &UpstreamName, item: Option<Versioned>) {
        let mut rollouts = self.coordinator.rollouts();
        let Some((_, rollout)) = rollouts.find(|(name, _)| *name == upstream) else { return };
        let ordered = Revision(rollout.order().revision);
        drop(rollouts);
        let status = item.filter(|item| item.revision > ordered).and_then(|item| {
            let status = (self.format.read_rollout_status)(&item.value);
            status.map_err(|e| log_unreadable(&item, &e)).ok()
        });
        self.coordinator.set_rollout_status(upstream, status.as_ref());
    }

    /// Lets rollouts go on, and writes what the store lacks of them.
    pub(super) fn update_rollouts(&mut self) {
        if self.coordinator.rollouts().next().is_none() {
            return;
        }
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.update_rollouts(now, &mut replies);
        self.execute(Vec::new(), replies);
        let rollouts: Vec<_> =
            self.coordinator.rollouts().map(|(u, r)| (u.clone(), r.clone())).collect();
        for (upstream, rollout) in rollouts {
            self.log_phase(&upstream, &rollout);
            if self.coordinator_client.coordinator().is_none() && self.mirror.revision().0 > 0 {
                self.store_status(&upstream, &rollout);
                self.store_progress(&upstream, &rollout);
            }
        }
    }

    fn log_phase(&mut self, upstream: &UpstreamName, rollout: &Rollout) {
        let phase = rollout.phase();
        let items = self.rollout_items.entry(upstream.clone()).or_default();
        if items.logged.replace(phase) == Some(phase) {
            return;
        }
        let (evidence, progress) = (rollout.evidence(), rollout.gate().progress());
        let bad = evidence.bad_class();
        let suspicion = evidence.most_suspicious().map_or(0.0, |(_, fraction)| fraction);
        log_event!(
            Event::RolloutPhase,
            upstream:% = upstream,
            target:% = rollout.order().target,
            phase = phase_name(phase),
            good = evidence.good_answers(),
            bad = evidence.bad_answers(),
            bad_class:% = Optional(bad),
            suspicion = suspicion,
            exposed = progress.exposed,
            granted = progress.granted
        );
        if let RolloutPhase::Ended(state) = phase {
            self.metrics.rollout_ended(state);
        }
    }

    fn store_status(&mut self, upstream: &UpstreamName, rollout: &Rollout) {
        let basis = self.coordinator.share_basis();
        let Some(status) = rollout.unstored_status() else { return };
        // Any coordinator may find a version bad, but only the one of most hosts knows that
        // nothing shows it as bad.
        if status.state != RolloutState::RolledBack && 2 * basis.clients <= basis.known {
            return;
        }
        let now = self.now();
        let key = format!("{}{upstream}", self.format.keys.rollout_statuses);
        let known = self.mirror.get(&key).map_or(Revision(0), |item| item.revision);
        let items = self.rollout_items.entry(upstream.clone()).or_default();
        if items.status_written.is_some_and(|at| now.since(at) < MIN_STATUS_INTERVAL) {
            return;
        }
        items.status_written = Some(now);
        let expected = items.status_revision.unwrap_or(known);
        let value = match (self.format.write_rollout_status)(upstream, &status) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the status of the rollout of {upstream}: {e}");
                return;
            }
        };
        let (store, tx) = (self.store.clone(), self.rollout_tx.clone());
        let upstream = upstream.clone();
        actix_rt::spawn(async move {
            let found = match store.put_if(&key, expected, value).await {
                Ok(Some(_)) => return,
                // The mirror may hold a revision of a former era.
                Ok(None) => store
                    .page(&key, None)
                    .await
                    .map(|page| page.items.into_iter().find(|item| item.key == key)),
                Err(e) => Err(e),
            };
            match found {
                Ok(item) => {
                    if tx.send((upstream, item)).is_err() {
                        log::debug!("the control thread has ended");
                    }
                }
                Err(e) => {
                    log_event!(Event::RolloutNotWritten, upstream:% = upstream, cause:% = e);
                }
            }
        });
    }

    /// Applies a status that was read because it is not the one that was expected.
    pub(super) fn apply_read_status(&mut self, upstream: &UpstreamName, item: Option<Versioned>) {
        let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
        self.rollout_items.entry(upstream.clone()).or_default().status_revision = Some(revision);
        self.apply_status(upstream, item);
    }

    fn store_progress(&mut self, upstream: &UpstreamName, rollout: &Rollout) {
        let basis = self.coordinator.share_basis();
        if matches!(rollout.phase(), RolloutPhase::Ended(_)) || 2 * basis.clients <= basis.known {
            return;
        }
        let now = self.now();
        let items = self.rollout_items.entry(upstream.clone()).or_default();
        if items.progress_written.is_some_and(|at| now.since(at) < MIN_PROGRESS_INTERVAL) {
            return;
        }
        items.progress_written = Some(now);
        let RolloutProgress { granted, exposed, former } = rollout.gate().progress();
        let (order, seen_ms) = (rollout.order().revision, items.seen_ms);
        let record = ProgressRecord { order, seen_ms, granted, exposed, former };
        let key = format!("{}{upstream}", self.format.keys.rollouts);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the progress of the rollout of {upstream}: {e}");
                return;
            }
        };
        let (store, upstream) = (self.store.clone(), upstream.clone());
        actix_rt::spawn(async move {
            if let Err(e) = store.put(&key, value, None).await {
                log_event!(Event::RolloutNotWritten, upstream:% = upstream, cause:% = e);
            }
        });
    }
}

fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::Canary => "canary",
        RolloutPhase::Shifting(_) => "shifting",
        RolloutPhase::Draining => "draining",
        RolloutPhase::Ended(RolloutState::Completed) => "completed",
        RolloutPhase::Ended(RolloutState::RolledBack) => "rolled-back",
        RolloutPhase::Ended(RolloutState::Active) => "active",
    }
}

fn log_unreadable(item: &Versioned, cause: &dyn std::fmt::Display) {
    log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = cause);
}

/// What this host knows of all rollouts, by upstream.
pub(super) type AllRolloutItems = BTreeMap<UpstreamName, RolloutItems>;
