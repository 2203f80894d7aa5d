//! The store's record of the versions that serve or did so a short time ago.
//!
//! A host that has just started knows neither the streams that others began nor the
//! versions whose runners are gone: all hosts may have been down while the runners of one
//! version were replaced by those of another. The coordinator therefore keeps the versions
//! in the store, a single one too. The write has no condition: coordinators that don't
//! know of each other read each other's versions and write all of them.
//!
//! What a host knows of versions and what the store has of them are two things: the store
//! loses a record that it came back without, or that another writer deleted or replaced.
//! Only the mirror says what the store has, and the record is written whenever that is
//! not what the coordinator knows.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use comfreyway_core::{fleet::RunnerVersion, ids::UpstreamName, time::MonoTime};
use comfreyway_platform::Versioned;
use serde::{Deserialize, Serialize};

use crate::{
    events::{Event, log_event},
    fleet::wall_clock::{as_ms, unix_ms},
};

use super::FleetControl;

/// Minimum time between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time before a write that adds a version: until then the store doesn't show that
/// streams of that version may exist.
const MIN_ADDITION_INTERVAL: Duration = Duration::from_millis(200);

/// Difference by which the clocks of two hosts may differ.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Versions of each upstream that may have begun a stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct VersionRecord {
    /// Time for which streams may be taken up again, in milliseconds; zero from hosts of
    /// earlier versions.
    #[serde(default)]
    retention_ms: u64,
    upstreams: BTreeMap<UpstreamName, Vec<RecordedVersion>>,
}

/// A version that serves, or did so a short time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RecordedVersion {
    /// `None` for runners whose entries name no version.
    version: Option<RunnerVersion>,
    /// When its last runner was removed, in milliseconds since the Unix epoch.
    gone_ms: Option<u64>,
    /// Until when its streams may be taken up, in milliseconds since the Unix epoch; none if
    /// it serves, and from hosts of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    keep_until_ms: Option<u64>,
}

impl VersionRecord {
    /// Returns the versions without their times.
    fn states(&self) -> BTreeSet<(&UpstreamName, Option<&RunnerVersion>, bool)> {
        let upstreams = self.upstreams.iter();
        let versions = upstreams.flat_map(|(upstream, versions)| {
            versions.iter().map(move |v| (upstream, v.version.as_ref(), v.gone_ms.is_some()))
        });
        versions.collect()
    }

    /// Returns the versions of each upstream.
    fn versions(&self) -> BTreeSet<(&UpstreamName, Option<&RunnerVersion>)> {
        self.states().into_iter().map(|(upstream, version, _)| (upstream, version)).collect()
    }

    /// Returns true if an upstream has several versions.
    fn is_mixed(&self) -> bool {
        self.upstreams.values().any(|versions| versions.len() > 1)
    }
}

impl FleetControl {
    /// Learns the versions and the retention of the store's record.
    pub(super) fn learn_version_record(&mut self, item: &Versioned) {
        let record = match serde_json::from_slice::<VersionRecord>(&item.value) {
            Ok(record) => record,
            Err(e) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = e);
                return;
            }
        };
        let (now, unix_ms) = (self.now(), unix_ms());
        // The versions without a time of their own are kept for this long.
        let retention = Duration::from_millis(record.retention_ms);
        self.recorded_retention = retention;
        self.coordinator.set_recorded_retention(now, retention);
        for (upstream, versions) in &record.upstreams {
            for RecordedVersion { version, gone_ms, keep_until_ms } in versions {
                let gone_for = gone_ms.map_or(Duration::ZERO, |gone_ms| {
                    let gone_for = Duration::from_millis(unix_ms.saturating_sub(gone_ms));
                    gone_for.saturating_sub(CLOCK_TOLERANCE)
                });
                let time_left = gone_ms.zip(*keep_until_ms).map(|(gone_ms, keep_until_ms)| {
                    let until = |ms| Duration::from_millis(keep_until_ms.saturating_sub(ms));
                    // Both times are of one clock, so a wrong one does not change what is
                    // between them, which is enough from any time after the first.
                    until(gone_ms).min(until(unix_ms) + CLOCK_TOLERANCE)
                });
                let version = version.clone();
                self.coordinator.version_reported(now, upstream, version, gone_for, time_left);
            }
        }
    }

    /// Returns the record that the store has, empty if it has none that can be read.
    fn stored_version_record(&self) -> VersionRecord {
        let item = self.mirror.get(self.format.keys.versions);
        let record = item.and_then(|item| serde_json::from_slice(&item.value).ok());
        record.unwrap_or_default()
    }

    /// Writes the record if the store has another one, or none.
    pub(super) fn update_version_record(&mut self) {
        let now = self.now();
        if self.coordinator_client.coordinator().is_some() {
            // Another host keeps the record. If this one takes over, it does not know which
            // streams that was for.
            self.coordinator.set_recorded_retention(now, self.recorded_retention);
            return;
        }
        if self.mirror.revision().0 == 0 {
            return;
        }
        let record = self.current_versions(now);
        let stored = self.stored_version_record();
        if record.states() == stored.states() && record.retention_ms == stored.retention_ms {
            return;
        }
        // While all hosts start, each coordinates itself for a moment and sees the same.
        let basis = self.coordinator.share_basis();
        if !record.is_mixed() && 2 * basis.clients <= basis.known {
            return;
        }
        let adds_version = !record.versions().is_subset(&stored.versions());
        let is_urgent = adds_version || record.retention_ms > stored.retention_ms;
        let interval = if is_urgent { MIN_ADDITION_INTERVAL } else { MIN_WRITE_INTERVAL };
        if self.version_record_written.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the record of versions: {e}");
                return;
            }
        };
        self.version_record_written = Some(now);
        let (store, key) = (self.store.clone(), self.format.keys.versions);
        actix_rt::spawn(async move {
            if let Err(e) = store.put(key, value, None).await {
                log_event!(Event::VersionRecordNotWritten, cause:% = e);
            }
        });
    }

    fn current_versions(&self, now: MonoTime) -> VersionRecord {
        let unix_ms = unix_ms();
        let histories = self.coordinator.version_histories();
        let upstreams = histories.map(|(upstream, history)| {
            let versions = history.versions(now).map(|(version, gone)| RecordedVersion {
                version: version.cloned(),
                gone_ms: gone.map(|gone| unix_ms.saturating_sub(as_ms(gone.gone_for))),
                keep_until_ms: gone.map(|gone| unix_ms.saturating_add(as_ms(gone.time_left))),
            });
            (upstream.clone(), versions.collect())
        });
        // Without a runner there is nothing to record.
        let upstreams = upstreams.filter(|(_, versions): &(_, Vec<_>)| !versions.is_empty());
        let retention_ms = as_ms(self.coordinator.retention_to_record(now));
        VersionRecord { retention_ms, upstreams: upstreams.collect() }
    }
}
