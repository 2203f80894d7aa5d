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
    keep_until: MonoTime,
}

/// Remembers for each stream the version that began it, for as long as its caller may
/// take it up again. No change of the configuration shortens that.
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
/// let retention = Duration::from_secs(10);
/// let age = Duration::ZERO;
/// let record = StreamRecord { id, upstream, version: version.clone(), age, retention };
/// let at = MonoTime::from_millis;
/// let mut streams = StreamVersions::default();
/// assert!(streams.record(at(1_000), record.clone()));
/// // The version of a stream never changes.
/// let other = StreamRecord { version: RunnerVersion::new("v2"), ..record };
/// assert!(!streams.record(at(9_000), other));
/// streams.expire(at(19_000));
/// assert_eq!(streams.get(id).unwrap().1, version.as_ref());
/// streams.expire(at(19_001));
/// assert!(streams.get(id).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    known: BTreeMap<StreamId, Known>,
    by_expiry: BTreeSet<(MonoTime, StreamId)>,
}

impl StreamVersions {
    /// Records the version of a stream, or that the stream was used again. Returns true if
    /// it was not known.
    pub fn record(&mut self, now: MonoTime, record: StreamRecord) -> bool {
        let StreamRecord { id, upstream, version, age, retention } = record;
        let used_at = now - age;
        if self.known.contains_key(&id) {
            self.used(id, used_at, retention);
            return false;
        }
        let keep_until = used_at + retention;
        self.known.insert(id, Known { upstream, version, used_at, keep_until });
        self.by_expiry.insert((keep_until, id));
        true
    }

    /// Records that a stream was used again, if it is known. It is then remembered for
    /// `retention` at least.
    pub fn used(&mut self, id: StreamId, used_at: MonoTime, retention: Duration) {
        let Some(known) = self.known.get_mut(&id) else { return };
        let keep_until = used_at + retention;
        known.used_at = known.used_at.max(used_at);
        if keep_until > known.keep_until {
            self.by_expiry.remove(&(known.keep_until, id));
            self.by_expiry.insert((keep_until, id));
            known.keep_until = keep_until;
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
            retention: known.keep_until.since(known.used_at),
        })
    }

    /// Forgets the streams that no caller takes up any more.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((keep_until, id)) = self.by_expiry.first().copied() {
            if now <= keep_until {
                return;
            }
            self.by_expiry.pop_first();
            self.known.remove(&id);
        }
    }
}
