//! Interface of the key-value service.

use std::{fmt, time::Duration};

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};

use crate::PlatformError;

/// Revision of a key; zero if the key does not exist.
///
/// A store that comes back from an older copy counts its revisions again from that
/// copy on, in a new era. The era takes the upper bits, so that every revision of an
/// era is higher than those of the eras before it.
///
/// # Examples
///
/// ```
/// use comfreyway_platform::Revision;
///
/// let revision = Revision::new(2, 7);
/// assert_eq!((revision.era(), revision.number()), (2, 7));
/// assert!(revision > Revision::new(1, 1_000));
/// assert_eq!(revision.to_string(), "2:7");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// Number of bits that count the revisions of one era: enough for a century at
/// several thousand changes a second.
const NUMBER_BITS: u32 = 44;

/// Maximum era, which the remaining bits hold.
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

impl Revision {
    /// Creates the revision with this number in an era of the store.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Self(era.min(MAX_ERA) << NUMBER_BITS | number & !(MAX_ERA << NUMBER_BITS))
    }

    /// Returns the era of the store. Zero if the store tells none.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number that the store gave the revision.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & !(MAX_ERA << NUMBER_BITS)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

/// A key and its value, with the revision of the last write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// Result of a compare-and-swap or compare-and-delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasOutcome {
    /// The key was written or deleted at this revision.
    Written(Revision),
    /// The key is at another revision. Holds its current value, if any.
    Mismatch(Option<Versioned>),
}

/// A change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvEvent {
    /// A key was written.
    Put(Versioned),
    /// A key was deleted, or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl KvEvent {
    /// Returns the key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// A key-value service. Implementations apply a timeout to each call.
///
/// Futures may be dropped at any time; the call may still take effect.
pub trait KeyValue {
    /// Reads one key.
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Versioned>, PlatformError>>;

    /// Reads all keys that start with `prefix`, in key order.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Versioned>, PlatformError>>;

    /// Writes `value` if the key is at revision `expected`. With a lease, the
    /// key is deleted when the lease ends.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>>;

    /// Deletes the key if it is at revision `expected`.
    fn compare_and_delete<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>>;

    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>>;

    /// Renews a lease and returns its remaining time.
    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<Duration, PlatformError>>;

    /// Revokes a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), PlatformError>>;

    /// Streams the changes after revision `after` to keys that start with
    /// `prefix`. The stream ends with an error if the connection breaks.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> LocalBoxStream<'a, Result<KvEvent, PlatformError>>;
}
