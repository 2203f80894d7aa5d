//! The versions of streams in the store, while several versions serve.
//!
//! Hosts know which version began a stream. If all of them are killed at once, callers take
//! their streams up again at hosts that know none, and a stream of unknown version is
//! refused while several can have begun it. So the coordinator writes the new ones to the
//! store, some at a time, under leases that end when no caller takes them up any more. Only
//! hosts that start read them; they aren't relayed.
//!
//! A store that comes back from an older copy has lost the items and their leases. The
//! coordinator then writes all streams that it knows again.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use comfreyway_core::{
    fleet::{RunnerVersion, StreamId, StreamRecord},
    ids::UpstreamName,
    time::MonoTime,
};
use comfreyway_platform::{KvEvent, LeaseId, Store, StoreError, Versioned};
use serde::{Deserialize, Serialize};

use crate::{
    events::{Event, log_event},
    fleet::wall_clock::{as_ms, unix_ms},
};

use super::FleetControl;

/// Minimum time between two writes of all coordinators together.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of streams in one item, at some 50 bytes each.
const MAX_STREAMS_PER_ITEM: usize = 4_000;

/// Time for which items share a lease, as a fraction of the time for which streams are
/// remembered.
const LEASE_FRACTION: f64 = 0.25;

/// Minimum lifetime of a lease.
const MIN_LEASE: Duration = Duration::from_secs(2);

/// An item of the store: the streams that began at each version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct StreamItem {
    /// In milliseconds since the Unix epoch.
    written_ms: u64,
    /// Time for which the streams may be taken up again, in milliseconds; zero from hosts of
    /// earlier versions.
    #[serde(default)]
    retention_ms: u64,
    upstreams: BTreeMap<UpstreamName, BTreeMap<RunnerVersion, Vec<StreamId>>>,
}

impl StreamItem {
    fn new(records: &[StreamRecord]) -> Self {
        let mut item = Self { written_ms: unix_ms(), ..Self::default() };
        let retention = records.iter().map(|record| record.retention).max();
        item.retention_ms = as_ms(retention.unwrap_or_default());
        for record in records {
            let Some(version) = record.version.clone() else { continue };
            let versions = item.upstreams.entry(record.upstream.clone()).or_default();
            versions.entry(version).or_default().push(record.id);
        }
        item
    }

    fn into_records(self) -> impl Iterator<Item = StreamRecord> {
        let age = Duration::from_millis(unix_ms().saturating_sub(self.written_ms));
        let retention = Duration::from_millis(self.retention_ms);
        self.upstreams.into_iter().flat_map(move |(upstream, versions)| {
            versions.into_iter().flat_map(move |(version, ids)| {
                let upstream = upstream.clone();
                ids.into_iter().map(move |id| {
                    let (upstream, version) = (upstream.clone(), Some(version.clone()));
                    StreamRecord { id, upstream, version, age, retention }
                })
            })
        })
    }
}

/// The present lease of new items.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    ends_at: MonoTime,
    /// Era of the store in which it was granted. In a later one the same id may be
    /// another lease.
    era: u64,
}

impl SharedLease {
    /// Returns true if an item under it outlives streams of this retention.
    fn covers(self, now: MonoTime, retention: Duration) -> bool {
        self.ends_at >= now + retention
    }
}

/// Streams that the store does not have yet.
#[derive(Clone, Debug, Default)]
pub(super) struct UnstoredStreams {
    records: Rc<RefCell<Vec<StreamRecord>>>,
    is_writing: Rc<Cell<bool>>,
    lease: Rc<Cell<Option<SharedLease>>>,
    written: Option<MonoTime>,
    items: u64,
    /// Era of the store that has what was written.
    era: u64,
}

impl UnstoredStreams {
    pub(super) fn add(&self, records: &[StreamRecord]) {
        self.records.borrow_mut().extend_from_slice(records);
    }

    pub(super) fn clear(&self) {
        self.records.borrow_mut().clear();
    }

    /// Sets the era of the store. Returns true if the store may have lost what was written.
    pub(super) fn enter_era(&mut self, era: u64) -> bool {
        std::mem::replace(&mut self.era, era) < era
    }
}

impl FleetControl {
    /// Learns the streams of the store's items, and removes these from a listing.
    pub(super) fn take_stream_items(&mut self, items: &mut Vec<Versioned>) {
        let prefix = self.format.keys.streams;
        let taken: Vec<_> = items.extract_if(.., |item| item.key.starts_with(prefix)).collect();
        taken.iter().for_each(|item| self.apply_stream_item(item));
    }

    /// Learns the streams of changed items, and removes these from the changes.
    pub(super) fn take_stream_changes(&mut self, events: &mut Vec<KvEvent>) {
        let prefix = self.format.keys.streams;
        let taken = events.extract_if(.., |event| event.key().starts_with(prefix));
        for event in taken.collect::<Vec<_>>() {
            if let KvEvent::Put(item) = event {
                self.apply_stream_item(&item);
            }
        }
    }

    fn apply_stream_item(&mut self, item: &Versioned) {
        match serde_json::from_slice::<StreamItem>(&item.value) {
            Ok(read) => {
                let (now, mut replies) = (self.now(), Vec::new());
                self.coordinator.restore_streams(now, read.into_records(), &mut replies);
                self.execute(Vec::new(), replies);
            }
            Err(e) => {
                log_event!(Event::EntryUnreadable, key = item.key.as_str(), cause:% = e);
            }
        }
    }

    /// Writes streams that the store does not have, if it is time.
    pub(super) fn store_streams(&mut self) {
        let now = self.now();
        let unstored = &mut self.unstored_streams;
        if unstored.records.borrow().is_empty() || unstored.is_writing.get() {
            return;
        }
        let basis = self.coordinator.share_basis();
        let coordinators = basis.known.div_ceil(basis.clients.max(1)) as u32;
        let interval = MIN_WRITE_INTERVAL * coordinators.max(1);
        if unstored.written.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        let mut records = unstored.records.borrow_mut();
        let count = records.len().min(MAX_STREAMS_PER_ITEM);
        let batch: Vec<_> = records.drain(..count).collect();
        drop(records);
        let value = match serde_json::to_vec(&StreamItem::new(&batch)) {
            Ok(value) => value,
            Err(e) => {
                log::error!("can't encode the versions of streams: {e}");
                return;
            }
        };
        unstored.written = Some(now);
        unstored.items += 1;
        let me = &self.me.id;
        let prefix = self.format.keys.streams;
        let key = format!("{prefix}{}-{}-{}", me.name, me.incarnation, unstored.items);
        let retention = batch.iter().map(|record| record.retention).max().unwrap_or_default();
        let shared = retention.mul_f64(LEASE_FRACTION);
        // A lease that was granted for streams of a shorter retention ends too early.
        let era = self.store.era();
        let lease = unstored.lease.get();
        let lease = lease.filter(|lease| lease.era == era && lease.covers(now, retention));
        let ttl = (retention + shared).max(MIN_LEASE);
        let (unstored, store) = (unstored.clone(), self.store.clone());
        unstored.is_writing.set(true);
        actix_rt::spawn(async move {
            match write(&*store, &key, value, lease, now, ttl).await {
                Ok(lease) => unstored.lease.set(Some(lease)),
                Err(e) => {
                    log_event!(Event::VersionRecordNotWritten, cause:% = e);
                    unstored.lease.set(None);
                    unstored.add(&batch);
                }
            }
            unstored.is_writing.set(false);
        });
    }
}

/// Writes an item under a lease, a new one of this time to live if none is given.
async fn write(
    store: &dyn Store,
    key: &str,
    value: Vec<u8>,
    lease: Option<SharedLease>,
    now: MonoTime,
    ttl: Duration,
) -> Result<SharedLease, StoreError> {
    let lease = match lease {
        Some(lease) => lease,
        None => {
            let id = store.grant_lease(ttl).await?;
            SharedLease { id, ends_at: now + ttl, era: store.era() }
        }
    };
    store.put(key, value, Some(lease.id)).await?;
    match store.era() == lease.era {
        true => Ok(lease),
        false => Err(StoreError::NotDone("the store came back from an older copy".to_owned())),
    }
}
