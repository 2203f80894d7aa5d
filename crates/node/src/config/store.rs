//! The configuration in the key-value service.
//!
//! Every change replaces one key, the head, by compare-and-swap. The head holds
//! the version, the latest changes, and the name of the snapshot that they start
//! from. A reader that knows a recent version reads the head only; a new reader
//! also reads the snapshot. Snapshots are split into values below the service's
//! size limit and are written before the head that names them, so a head never
//! names a snapshot that was not written.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc};

use comfreyway_core::config::{AcceptedChange, AcceptedConfig, Document, StoredConfig, SwapReply};
use comfreyway_platform::{CasOutcome, KeyValue, PlatformError, Revision, Versioned};
use quick_error::quick_error;

use super::codec::{
    CodecError, Head, SnapshotRef, decode_head, decode_snapshot, encode_head, encode_snapshot,
};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Prefix of the snapshots' keys.
pub(crate) const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Number of changes after which a new snapshot is written.
const SNAPSHOT_INTERVAL: usize = 64;

/// Largest value of a snapshot, in bytes.
const MAX_PART_BYTES: usize = 512 << 10;

/// Largest number of reads if a new snapshot replaces the one that the head
/// names during the read.
const MAX_READS: usize = 3;

quick_error! {
    /// Why the stored configuration can't be read.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The service failed.
        Platform(cause: PlatformError) {
            from()
            display("{cause}")
        }
        /// A value can't be used.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
        }
        /// The snapshot that the head names is missing or incomplete.
        NoSnapshot(name: String) {
            display("the snapshot {name} is missing; apply a saved configuration again")
        }
    }
}

/// Reads and writes the stored configuration.
pub(crate) struct ConfigStore {
    kv: Rc<dyn KeyValue>,
    last_seen: RefCell<LastSeen>,
}

/// The state that was last read or written.
#[derive(Default)]
struct LastSeen {
    accepted: Arc<AcceptedConfig>,
    revision: Revision,
    snapshot: Option<SnapshotRef>,
}

impl ConfigStore {
    pub(crate) fn new(kv: Rc<dyn KeyValue>) -> Self {
        Self { kv, last_seen: RefCell::default() }
    }

    pub(crate) fn kv(&self) -> &Rc<dyn KeyValue> {
        &self.kv
    }

    /// Returns the revision of the head that was last read or written.
    pub(crate) fn revision(&self) -> Revision {
        self.last_seen.borrow().revision
    }

    /// Reads the configuration.
    pub(crate) async fn read(&self) -> Result<StoredConfig, StoreError> {
        let mut result = self.read_once().await;
        for _ in 1..MAX_READS {
            if !matches!(result, Err(StoreError::NoSnapshot(_))) {
                break;
            }
            result = self.read_once().await;
        }
        result
    }

    async fn read_once(&self) -> Result<StoredConfig, StoreError> {
        match self.kv.get(HEAD_KEY).await? {
            Some(head) => self.rebuild(&head).await,
            None => {
                *self.last_seen.borrow_mut() = LastSeen::default();
                Ok(StoredConfig { accepted: AcceptedConfig::default(), revision: 0 })
            }
        }
    }

    /// Rebuilds the configuration from a stored head.
    async fn rebuild(&self, stored: &Versioned) -> Result<StoredConfig, StoreError> {
        let head = decode_head(&stored.value)?;
        let known = self.last_seen.borrow().accepted.clone();
        let accepted = match replay_on_known(&known, &head) {
            Some(accepted) => accepted,
            None => self.read_snapshot(&head).await?,
        };
        let seen = LastSeen {
            accepted: Arc::new(accepted.clone()),
            revision: stored.revision,
            snapshot: head.snapshot,
        };
        *self.last_seen.borrow_mut() = seen;
        Ok(StoredConfig { accepted, revision: stored.revision.0 })
    }

    async fn read_snapshot(&self, head: &Head) -> Result<AcceptedConfig, StoreError> {
        let base = match &head.snapshot {
            Some(snapshot) => self.read_document(snapshot).await?,
            None => Document::default(),
        };
        let malformed = || CodecError::Malformed("head", "its history has gaps".to_owned());
        let changes = head.since(base.version).ok_or_else(malformed)?;
        let base = AcceptedConfig::new(base, Default::default());
        let newest = base.replay(&changes).ok_or_else(malformed)?;
        Ok(AcceptedConfig::new(newest.document().clone(), head.history.clone()))
    }

    async fn read_document(&self, snapshot: &SnapshotRef) -> Result<Document, StoreError> {
        let parts = self.kv.list(&parts_prefix(&snapshot.name)).await?;
        if parts.len() != snapshot.parts {
            return Err(StoreError::NoSnapshot(snapshot.name.clone()));
        }
        let buf: Vec<u8> = parts.into_iter().flat_map(|part| part.value).collect();
        Ok(decode_snapshot(&buf)?)
    }

    /// Replaces the configuration that was read at revision `expected` by `next`.
    pub(crate) async fn swap(&self, expected: u64, next: &AcceptedConfig) -> SwapReply {
        let (revision, snapshot) = {
            let seen = self.last_seen.borrow();
            (seen.revision, seen.snapshot.clone())
        };
        if revision.0 != expected {
            return SwapReply::Mismatch;
        }
        match self.try_swap(revision, snapshot, next).await {
            Ok(reply) => reply,
            Err(_) => SwapReply::Failed,
        }
    }

    async fn try_swap(
        &self,
        expected: Revision,
        old: Option<SnapshotRef>,
        next: &AcceptedConfig,
    ) -> Result<SwapReply, StoreError> {
        let due = snapshot_due(old.as_ref(), next);
        let snapshot = if due { Some(self.write_snapshot(next).await?) } else { old };
        let value = encode_head(&Head::new(next, snapshot.clone()))?;
        let outcome = self.kv.compare_and_swap(HEAD_KEY, expected, value, None).await?;
        let CasOutcome::Written(revision) = outcome else { return Ok(SwapReply::Mismatch) };
        *self.last_seen.borrow_mut() =
            LastSeen { accepted: Arc::new(next.clone()), revision, snapshot };
        if due {
            self.remove_snapshots_before(next.version()).await;
        }
        Ok(SwapReply::Written)
    }

    /// Writes a snapshot of `next`. Its name consists of the version and the
    /// change that makes it, so two writers of one name write the same values.
    async fn write_snapshot(&self, next: &AcceptedConfig) -> Result<SnapshotRef, StoreError> {
        let version = next.version();
        let change = next.history().back().map(|change| change.id.to_string());
        let name = format!("{version:020}-{}", change.unwrap_or_default());
        let buf = encode_snapshot(next.document())?;
        let chunks: Vec<_> = buf.chunks(MAX_PART_BYTES).collect();
        for (i, chunk) in chunks.iter().enumerate() {
            let key = format!("{}{i:04}", parts_prefix(&name));
            self.kv.compare_and_swap(&key, Revision(0), chunk.to_vec(), None).await?;
        }
        Ok(SnapshotRef { name, version, parts: chunks.len() })
    }

    /// Removes the snapshots of versions before `version`, which is accepted, so a
    /// swap that names one of them can't take effect any more. Snapshots that
    /// remain after a failure are removed with the next one.
    async fn remove_snapshots_before(&self, version: u64) {
        let first_kept = format!("{SNAPSHOT_PREFIX}{version:020}");
        let Ok(parts) = self.kv.list(SNAPSHOT_PREFIX).await else { return };
        let old: BTreeSet<_> = parts
            .into_iter()
            .filter(|part| part.key < first_kept)
            .map(|part| (part.key, part.revision))
            .collect();
        for (key, revision) in old {
            if self.kv.compare_and_delete(&key, revision).await.is_err() {
                return;
            }
        }
    }
}

fn parts_prefix(name: &str) -> String {
    format!("{SNAPSHOT_PREFIX}{name}/")
}

/// Returns the head's configuration by replaying its changes on `known`, if the
/// head descends from it and its history has all later changes.
fn replay_on_known(known: &AcceptedConfig, head: &Head) -> Option<AcceptedConfig> {
    let last_known = known.history().back()?;
    let same: Option<&AcceptedChange> =
        head.history.iter().find(|change| change.version == known.version());
    if same?.id != last_known.id {
        return None;
    }
    let newest = known.replay(&head.since(known.version())?)?;
    Some(AcceptedConfig::new(newest.document().clone(), head.history.clone()))
}

/// Returns true if a new snapshot is due: `snapshot` is older than the history of
/// `next`, or more than [`SNAPSHOT_INTERVAL`] changes behind it.
fn snapshot_due(snapshot: Option<&SnapshotRef>, next: &AcceptedConfig) -> bool {
    let base = snapshot.map_or(0, |snapshot| snapshot.version);
    next.changes_since(base).is_none_or(|changes| changes.len() > SNAPSHOT_INTERVAL)
}
