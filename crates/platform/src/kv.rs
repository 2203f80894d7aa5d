//! The key-value service as the scheduler uses it.

use std::time::Duration;

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};

use crate::PlatformError;

/// Revision of a key. Zero stands for a key that does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// Identity of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

/// A value with the revision that wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// Result of a compare-and-swap that the service answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasOutcome {
    /// The value was written under this revision.
    Written(Revision),
    /// The key was at another revision. Holds its present value, if any.
    Mismatch(Option<Versioned>),
}

/// A change seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvEvent {
    /// A key was written.
    Put(Versioned),
    /// A key was deleted, or its lease lapsed.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl KvEvent {
    /// The key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Revision of the change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// The key-value service. Implementations apply a time limit to each call.
///
/// Every future may be dropped; a dropped call may still have its effect.
pub trait KeyValue {
    /// Reads one key.
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Versioned>, PlatformError>>;

    /// Reads all keys that start with `prefix`, in order of keys.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Versioned>, PlatformError>>;

    /// Writes `value` if the key is at `expected`. With a lease, the key is
    /// deleted when the lease lapses.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>>;

    /// Deletes the key if it is at `expected`.
    fn compare_and_delete<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>>;

    /// Grants a lease that lapses `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>>;

    /// Renews a lease. Returns the time that is left to it.
    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<Duration, PlatformError>>;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), PlatformError>>;

    /// Streams the changes after `after` of all keys that start with `prefix`.
    /// The stream ends with an error when the connection breaks.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> LocalBoxStream<'a, Result<KvEvent, PlatformError>>;
}
