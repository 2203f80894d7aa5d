//! Records of pools and presence of hosts in the key-value service.

use std::rc::Rc;

use comfreyway_core::{
    cluster::{PoolRecord, PresenceResult, ReadResult, StoredRecord, WriteResult},
    ids::{HostId, HostName, PoolId},
};
use comfreyway_platform::{CasOutcome, KeyValue, LeaseId, PlatformError, Revision, Versioned};

const POOL_PREFIX: &str = "comfreyway/pools/";
const PRESENCE_PREFIX: &str = "comfreyway/presence/";

/// Reads and writes the records of pools and the presence of hosts. Cheap to clone.
#[derive(Clone)]
pub struct OwnershipStore {
    kv: Rc<dyn KeyValue>,
}

impl OwnershipStore {
    /// Creates a store that uses `kv`.
    #[must_use]
    pub fn new(kv: Rc<dyn KeyValue>) -> Self {
        Self { kv }
    }

    /// Reads the record of a pool.
    pub async fn read(&self, pool: &PoolId) -> ReadResult {
        match self.kv.get(&pool_key(pool)).await.map(|found| found.map(|v| decode_record(&v))) {
            Ok(None) => ReadResult::Record(None),
            Ok(Some(Some(record))) => ReadResult::Record(Some(record)),
            Ok(Some(None)) | Err(_) => ReadResult::Failed,
        }
    }

    /// Writes the record of a pool if it is at revision `expected`.
    pub async fn write(&self, pool: &PoolId, expected: u64, record: &PoolRecord) -> WriteResult {
        let Ok(value) = serde_json::to_vec(record) else { return WriteResult::NotDone };
        let key = pool_key(pool);
        match self.kv.compare_and_swap(&key, Revision(expected), value, None).await {
            Ok(CasOutcome::Written(revision)) => WriteResult::Written(revision.0),
            Ok(CasOutcome::Mismatch(found)) => {
                WriteResult::Mismatch(found.as_ref().and_then(decode_record))
            }
            Err(PlatformError::NotDone(_)) => WriteResult::NotDone,
            Err(_) => WriteResult::Uncertain,
        }
    }

    /// Reads which incarnation of a host holds its lease, if any.
    pub async fn presence(&self, host: &HostName) -> PresenceResult {
        match self.kv.get(&presence_key(host)).await {
            Ok(None) => PresenceResult::Expired,
            Ok(Some(found)) => match serde_json::from_slice(&found.value) {
                Ok(host) => PresenceResult::Held(host),
                Err(_) => PresenceResult::Expired,
            },
            Err(_) => PresenceResult::Failed,
        }
    }

    /// Writes this incarnation of the host under `lease`, which shows that the host
    /// is up.
    pub(super) async fn write_presence(
        &self,
        host: &HostId,
        lease: LeaseId,
    ) -> Result<(), PlatformError> {
        let key = presence_key(&host.name);
        let earlier = self.kv.get(&key).await?;
        let expected = earlier.map_or(Revision(0), |found| found.revision);
        let value = serde_json::to_vec(host).map_err(|e| PlatformError::NotDone(e.to_string()))?;
        match self.kv.compare_and_swap(&key, expected, value, Some(lease)).await? {
            CasOutcome::Written(_) => Ok(()),
            CasOutcome::Mismatch(_) => {
                Err(PlatformError::NotDone("the presence was changed concurrently".to_owned()))
            }
        }
    }

    pub(super) fn kv(&self) -> &Rc<dyn KeyValue> {
        &self.kv
    }
}

fn pool_key(pool: &PoolId) -> String {
    format!("{POOL_PREFIX}{pool}")
}

fn presence_key(host: &HostName) -> String {
    format!("{PRESENCE_PREFIX}{host}")
}

fn decode_record(found: &Versioned) -> Option<StoredRecord> {
    let record = serde_json::from_slice(&found.value).ok()?;
    Some(StoredRecord { revision: found.revision.0, record })
}
