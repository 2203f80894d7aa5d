//! The versions at which recent streams began.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::UpstreamName, time::MonoTime};

use super::{RunnerVersion, StreamId, StreamRecord};

#[derive(Clone, Debug)]
struct Known {
    upstream: UpstreamName,
    version: Option<RunnerVersion>,
    used_at: MonoTime,
}

/// Remembers for each stream the version that began it, for as long as its caller may
/// take it up again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{
///     fleet::{RunnerVersion, StreamId, StreamRecord, StreamVersions},
///     time::MonoTime,
/// };
///
/// let id = StreamId::new(&"desk".parse().unwrap(), "69c5");
/// let (upstream, version) = ("dala".parse().unwrap(), RunnerVersion::new("v1"));
/// let record = StreamRecord { id, upstream, version: version.clone(), age: Duration::ZERO };
/// let mut streams = StreamVersions::default();
/// streams.set_memory(Duration::from_secs(10));
/// assert!(streams.record(MonoTime::from_millis(1_000), record.clone()));
/// // The version of a stream never changes.
/// let other = StreamRecord { version: RunnerVersion::new("v2"), ..record };
/// assert!(!streams.record(MonoTime::from_millis(9_000), other));
/// assert_eq!(streams.get(id).unwrap().1, version.as_ref());
/// streams.expire(MonoTime::from_millis(20_000));
/// assert!(streams.get(id).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    memory: Duration,
    known: BTreeMap<StreamId, Known>,
    by_use: BTreeSet<(MonoTime, StreamId)>,
}

impl StreamVersions {
    /// Sets for how long a stream is remembered after it was last used.
    pub fn set_memory(&mut self, memory: Duration) {
        self.memory = memory;
    }

    /// Records the version of a stream, or that the stream was used again. Returns true
    /// if it was not known.
    pub fn record(&mut self, now: MonoTime, record: StreamRecord) -> bool {
        let StreamRecord { id, upstream, version, age } = record;
        let used_at = now - age;
        match self.known.get_mut(&id) {
            Some(known) if known.used_at >= used_at => false,
            Some(known) => {
                self.by_use.remove(&(known.used_at, id));
                known.used_at = used_at;
                self.by_use.insert((used_at, id));
                false
            }
            None => {
                self.known.insert(id, Known { upstream, version, used_at });
                self.by_use.insert((used_at, id));
                true
            }
        }
    }

    /// Returns the upstream of a stream and the version that began it.
    #[must_use]
    pub fn get(&self, id: StreamId) -> Option<(&UpstreamName, Option<&RunnerVersion>)> {
        self.known.get(&id).map(|known| (&known.upstream, known.version.as_ref()))
    }

    /// Returns all streams.
    pub fn records(&self, now: MonoTime) -> impl Iterator<Item = StreamRecord> {
        self.known.iter().map(move |(id, known)| StreamRecord {
            id: *id,
            upstream: known.upstream.clone(),
            version: known.version.clone(),
            age: now.since(known.used_at),
        })
    }

    /// Forgets the streams that were last used too long ago.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((used_at, id)) = self.by_use.first().copied() {
            if now.since(used_at) <= self.memory {
                return;
            }
            self.by_use.pop_first();
            self.known.remove(&id);
        }
    }
}
