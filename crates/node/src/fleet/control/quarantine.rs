//! Suspects that crash runners, shared with other hosts and kept in the store.
//!
//! The coordinator tells its client hosts what changes, and a host tells each next
//! coordinator all that it knows. What is quarantined stands in the store, an item for
//! each suspect, so that it outlasts all hosts. Only operators lift a quarantine: they write
//! `{"allowed":true}` to the item. A deletion doesn't, since a store that comes back from
//! an older copy has lost items too.
//!
//! While hosts serve that don't use the same coordinator, each group of them would find a
//! suspect by itself. They share their suspicions through the store then. Each writes all
//! that it knows: the runs that broke, and those of them that no longer count. Both only
//! grow, so it doesn't matter which group writes first.

use std::time::Duration;

use comfreyway_core::{
    fleet::{RecordSource, RunnerKey, Suspect, SuspectRecord},
    ids::{HostId, RequestId},
    request::DispatchEnd,
};
use comfreyway_platform::Versioned;
use serde::{Deserialize, Serialize};

use crate::{
    events::{Event, List, log_event},
    fleet::wire::{PROTOCOL_REQUESTS, PROTOCOL_SUSPECTS, ToCoordinator, ToHost},
};

use super::FleetControl;

/// Minimum time between two writes to the store.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of suspects in one message.
const MAX_SUSPECTS_PER_MESSAGE: usize = 2_000;

/// The store's item of one suspect.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct QuarantineItem {
    /// True if operators allowed the suspect again.
    allowed: bool,
    /// Runs that ended under it, if it is quarantined.
    runs: Vec<RunnerKey>,
    /// Runs that broke under it and whether they have ended, if it is only suspected;
    /// empty if it no longer is.
    suspected: Option<Vec<(RunnerKey, bool)>>,
    /// Runs that broke under it before requests with it had complete responses.
    cleared: Vec<RunnerKey>,
    /// True if requests with it have had complete responses.
    proven: bool,
}

impl QuarantineItem {
    fn of_suspicion(record: SuspectRecord) -> Self {
        let SuspectRecord { breaks, cleared, proven, .. } = record;
        Self { allowed: false, runs: Vec::new(), suspected: Some(breaks), cleared, proven }
    }

    /// Returns what the item says of a suspect that is not quarantined.
    fn to_record(&self, suspect: Suspect) -> Option<SuspectRecord> {
        let breaks = self.suspected.clone().filter(|_| !self.allowed)?;
        let (cleared, proven) = (self.cleared.clone(), self.proven);
        Some(SuspectRecord { suspect, breaks, quarantined: false, proven, cleared })
    }
}

impl FleetControl {
    /// Applies the store's item of a suspect.
    pub(super) fn apply_quarantine_item(&mut self, item: &Versioned) {
        let read = serde_json::from_slice::<QuarantineItem>(&item.value);
        let (suspect, read) = match (self.suspect_of(&item.key), read) {
            (Some(suspect), Ok(read)) => (suspect, read),
            (None, _) => {
                let cause = "its key names no suspect";
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause = cause);
                return;
            }
            (_, Err(e)) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = e);
                return;
            }
        };
        self.quarantine_items.insert(suspect, read.clone());
        let (now, mut replies) = (self.now(), Vec::new());
        if read.allowed {
            match suspect {
                Suspect::Part(part) => log_event!(Event::PromptPartAllowed, part:% = part),
                Suspect::Request(digest) => log_event!(Event::RequestAllowed, digest:% = digest),
            }
            self.coordinator.allow_suspect(now, suspect, &mut replies);
        } else if let Some(record) = read.to_record(suspect) {
            self.coordinator.learn_suspects(now, [record], RecordSource::Store, &mut replies);
        } else {
            self.coordinator.set_quarantined(now, suspect, read.runs, &mut replies);
        }
        self.execute(Vec::new(), replies);
    }

    /// Forgets the store's item of a suspect; that lifts no quarantine.
    pub(super) fn forget_quarantine_item(&mut self, key: &str) {
        if let Some(suspect) = self.suspect_of(key) {
            self.quarantine_items.remove(&suspect);
        }
    }

    /// Adds what another host knows of suspects.
    pub(super) fn learn_suspects(&mut self, records: Vec<SuspectRecord>, source: RecordSource) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.learn_suspects(now, records, source, &mut replies);
        self.execute(Vec::new(), replies);
    }

    /// Remembers the suspects of an own request with a complete response, for the time when
    /// this host loses its coordinator.
    pub(super) fn record_own_response(&mut self, id: RequestId, end: &DispatchEnd) {
        let is_complete = matches!(end, DispatchEnd::Complete(usage) if !usage.until_close);
        if !is_complete || self.coordinator_client.coordinator().is_none() {
            return;
        }
        let (now, mut replies) = (self.now(), Vec::new());
        let suspects = self.coordinator_client.suspects(id);
        self.coordinator.record_own_response(now, &suspects, &mut replies);
        self.execute(Vec::new(), replies);
    }

    /// Sends the next coordinator all that this host knows of suspects.
    pub(super) fn report_suspects(&mut self, host: &HostId) {
        let protocol = self.coordinator_protocol();
        for records in messages_for(protocol, &self.known_suspects()) {
            self.send_to_coordinator(host, ToCoordinator::Suspects(records));
        }
    }

    /// Sends a client host all that this coordinator knows of suspects.
    pub(super) fn send_known_suspects(&mut self, host: &HostId) {
        let records = self.known_suspects();
        self.send_suspects(host, &records);
    }

    /// Logs and shares what has changed of suspects.
    pub(super) fn share_suspects(&mut self) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.check_suspects(now, &mut replies);
        self.execute(Vec::new(), replies);
        let updates = self.coordinator.take_suspect_updates();
        let is_client = self.coordinator_client.coordinator().is_some();
        for record in &updates {
            self.log_suspect(record, is_client);
        }
        if updates.is_empty() || is_client {
            return;
        }
        let hosts: Vec<_> = self.clients.iter().map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_suspects(&host, &updates);
        }
    }

    fn log_suspect(&self, record: &SuspectRecord, is_client: bool) {
        let SuspectRecord { suspect, breaks, quarantined, .. } = record;
        let runs: Vec<_> = breaks.iter().map(|(key, _)| &key.name).collect();
        let runners = List(&runs);
        let is_logged = *quarantined || (!runs.is_empty() && !is_client);
        match suspect {
            _ if !is_logged => {}
            Suspect::Part(part) if *quarantined => {
                self.metrics.part_quarantined();
                log_event!(Event::PromptPartQuarantined, part:% = part, runners:% = runners);
            }
            Suspect::Part(part) => {
                log_event!(Event::PromptPartSuspected, part:% = part, runners:% = runners);
            }
            Suspect::Request(digest) if *quarantined => {
                self.metrics.request_quarantined();
                log_event!(Event::RequestQuarantined, digest:% = digest, runners:% = runners);
            }
            Suspect::Request(digest) => {
                log_event!(Event::RequestSuspected, digest:% = digest, runners:% = runners);
            }
        }
    }

    /// Writes the state of a suspect that the store does not have.
    pub(super) fn store_quarantine(&mut self) {
        let now = self.now();
        if self.coordinator_client.coordinator().is_some()
            || self.mirror.revision().0 == 0
            || self.quarantine_written.is_some_and(|at| now.since(at) < MIN_WRITE_INTERVAL)
        {
            return;
        }
        let Some((suspect, item)) = self.unstored_suspect() else { return };
        let key = format!("{}{suspect}", self.format.keys.quarantine);
        let value = match serde_json::to_vec(&item) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the state of suspect {suspect}: {e}");
                return;
            }
        };
        self.quarantine_written = Some(now);
        let store = self.store.clone();
        actix_rt::spawn(async move {
            if let Err(e) = store.put(&key, value, None).await {
                log_event!(Event::QuarantineNotWritten, key = key.as_str(), cause:% = e);
            }
        });
    }

    /// Returns a suspect whose state the store does not have, with its item.
    fn unstored_suspect(&self) -> Option<(Suspect, QuarantineItem)> {
        let quarantine = self.coordinator.quarantine();
        let is_stored = |suspect: Suspect| {
            let item = self.quarantine_items.get(&suspect);
            item.is_some_and(|item| !item.allowed && item.suspected.is_none())
        };
        let mut unstored = quarantine.quarantined().filter(|(suspect, _)| !is_stored(*suspect));
        if let Some((suspect, runs)) = unstored.next() {
            return Some((suspect, QuarantineItem { runs: runs.to_vec(), ..Default::default() }));
        }
        let basis = self.coordinator.share_basis();
        let is_divided = basis.clients < basis.known;
        let stored = |suspect: Suspect| self.quarantine_items.get(&suspect)?.to_record(suspect);
        let in_store = self.quarantine_items.keys().copied();
        let mut records = quarantine.known_suspects().chain(in_store).map(|s| quarantine.record(s));
        let news = records.find(|record| {
            let stored = stored(record.suspect);
            // One coordinator needs no store to share suspicions, but ends what is there.
            let is_shared = is_divided || (stored.is_some() && record.breaks.is_empty());
            !record.quarantined && is_shared && record.adds_to(stored.as_ref())
        })?;
        Some((news.suspect, QuarantineItem::of_suspicion(news)))
    }

    fn suspect_of(&self, key: &str) -> Option<Suspect> {
        key.strip_prefix(self.format.keys.quarantine)?.parse().ok()
    }

    fn known_suspects(&self) -> Vec<SuspectRecord> {
        let quarantine = self.coordinator.quarantine();
        quarantine.known_suspects().map(|suspect| quarantine.record(suspect)).collect()
    }

    fn send_suspects(&mut self, host: &HostId, records: &[SuspectRecord]) {
        let protocol = self.clients.get(host).map_or(0, |client| client.protocol);
        for records in messages_for(protocol, records) {
            self.send_to_client(host, &ToHost::Suspects(records));
        }
    }
}

/// Returns the records that a host of this protocol understands, for one message each.
fn messages_for(protocol: u8, records: &[SuspectRecord]) -> Vec<Vec<SuspectRecord>> {
    let is_understood = |record: &&SuspectRecord| match record.suspect {
        Suspect::Part(_) => protocol >= PROTOCOL_SUSPECTS,
        Suspect::Request(_) => protocol >= PROTOCOL_REQUESTS,
    };
    let understood: Vec<_> = records.iter().filter(is_understood).cloned().collect();
    understood.chunks(MAX_SUSPECTS_PER_MESSAGE).map(<[_]>::to_vec).collect()
}
