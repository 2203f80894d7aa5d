//! Prompt parts that crash runners, shared with other hosts and kept in the store.
//!
//! The coordinator tells its client hosts what changes, and a host tells each next
//! coordinator all that it knows. What is quarantined stands in the store, an item for
//! each part, so that it outlasts all hosts. Only operators lift a quarantine: they write
//! `{"allowed":true}` to the item. A deletion doesn't, since a store that comes back from
//! an older copy has lost items too.

use std::time::Duration;

use comfreyway_core::{
    fleet::{PartRecord, PromptPart, RecordSource, RunnerKey},
    ids::HostId,
};
use comfreyway_platform::Versioned;
use serde::{Deserialize, Serialize};

use crate::{
    events::{Event, List, log_event},
    fleet::wire::{PROTOCOL_PARTS, ToCoordinator, ToHost},
};

use super::FleetControl;

/// Minimum time between two writes to the store.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of parts in one message.
const MAX_PARTS_PER_MESSAGE: usize = 2_000;

/// The store's item of one part.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct QuarantineItem {
    /// True if operators allowed the part again.
    allowed: bool,
    /// Runs that ended under it.
    runs: Vec<RunnerKey>,
}

impl FleetControl {
    /// Applies the store's item of a part.
    pub(super) fn apply_quarantine_item(&mut self, item: &Versioned) {
        let id = item.key.strip_prefix(self.format.keys.quarantine).unwrap_or_default();
        let part = u64::from_str_radix(id, 16).map(PromptPart).map_err(|e| e.to_string());
        let read = serde_json::from_slice::<QuarantineItem>(&item.value);
        let (part, read) = match (part, read.map_err(|e| e.to_string())) {
            (Ok(part), Ok(read)) => (part, read),
            (Err(e), _) | (_, Err(e)) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause = e.as_str());
                return;
            }
        };
        let (now, mut replies) = (self.now(), Vec::new());
        if read.allowed {
            log_event!(Event::PromptPartAllowed, part:% = part);
            self.coordinator.allow_part(now, part, &mut replies);
        } else {
            self.coordinator.set_quarantined(now, part, read.runs, &mut replies);
        }
        self.execute(Vec::new(), replies);
    }

    /// Adds what another host knows of prompt parts.
    pub(super) fn learn_parts(&mut self, records: Vec<PartRecord>, source: RecordSource) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.learn_parts(now, records, source, &mut replies);
        self.execute(Vec::new(), replies);
    }

    /// Sends the next coordinator all that this host knows of prompt parts.
    pub(super) fn report_parts(&mut self, host: &HostId) {
        let session = self.coordinator_session.as_ref().filter(|session| session.host == *host);
        if session.is_none_or(|session| session.protocol < PROTOCOL_PARTS) {
            return;
        }
        for records in self.known_parts().chunks(MAX_PARTS_PER_MESSAGE) {
            self.send_to_coordinator(host, ToCoordinator::Parts(records.to_vec()));
        }
    }

    /// Sends a client host all that this coordinator knows of prompt parts.
    pub(super) fn send_known_parts(&mut self, host: &HostId) {
        let records = self.known_parts();
        self.send_parts(host, &records);
    }

    /// Logs and shares what has changed of prompt parts.
    pub(super) fn share_parts(&mut self) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.check_parts(now, &mut replies);
        self.execute(Vec::new(), replies);
        let updates = self.coordinator.take_part_updates();
        for PartRecord { part, breaks, quarantined } in &updates {
            let runs: Vec<_> = breaks.iter().map(|(key, _)| &key.name).collect();
            if *quarantined {
                self.metrics.part_quarantined();
                log_event!(Event::PromptPartQuarantined, part:% = part, runners:% = List(&runs));
            } else if !runs.is_empty() {
                log_event!(Event::PromptPartSuspected, part:% = part, runners:% = List(&runs));
            }
        }
        if updates.is_empty() || self.coordinator_client.coordinator().is_some() {
            return;
        }
        let hosts: Vec<_> = self.clients.iter().map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_parts(&host, &updates);
        }
    }

    /// Writes a quarantined part that the store does not have.
    pub(super) fn store_quarantine(&mut self) {
        let now = self.now();
        if self.coordinator_client.coordinator().is_some()
            || self.mirror.revision().0 == 0
            || self.quarantine_written.is_some_and(|at| now.since(at) < MIN_WRITE_INTERVAL)
        {
            return;
        }
        let key_of = |part: PromptPart| format!("{}{part}", self.format.keys.quarantine);
        let mut parts = self.coordinator.quarantine().quarantined();
        let Some((part, runs)) = parts.find(|(part, _)| !self.has_quarantine_item(*part)) else {
            return;
        };
        let (key, item) = (key_of(part), QuarantineItem { allowed: false, runs: runs.to_vec() });
        let value = match serde_json::to_vec(&item) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the quarantine of prompt part {part}: {e}");
                return;
            }
        };
        drop(parts);
        self.quarantine_written = Some(now);
        let store = self.store.clone();
        actix_rt::spawn(async move {
            if let Err(e) = store.put(&key, value, None).await {
                log_event!(Event::QuarantineNotWritten, key = key.as_str(), cause:% = e);
            }
        });
    }

    fn has_quarantine_item(&self, part: PromptPart) -> bool {
        let item = self.mirror.get(&format!("{}{part}", self.format.keys.quarantine));
        let read = item.and_then(|item| serde_json::from_slice::<QuarantineItem>(&item.value).ok());
        read.is_some_and(|read| !read.allowed)
    }

    fn known_parts(&self) -> Vec<PartRecord> {
        let quarantine = self.coordinator.quarantine();
        quarantine.known_parts().map(|part| quarantine.record(part)).collect()
    }

    fn send_parts(&mut self, host: &HostId, records: &[PartRecord]) {
        if self.clients.get(host).is_none_or(|client| client.protocol < PROTOCOL_PARTS) {
            return;
        }
        for records in records.chunks(MAX_PARTS_PER_MESSAGE) {
            self.send_to_client(host, &ToHost::Parts(records.to_vec()));
        }
    }
}
