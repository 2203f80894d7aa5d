//! Interface of the platform's store.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::{KvEvent, LeaseId, Revision, Versioned};

quick_error! {
    /// Error of a call to the store.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The call had no effect.
        NotDone(cause: String) {
            display("call to the store not executed: {cause}")
        }
        /// No reply; the call may have taken effect or may still do so.
        Uncertain(cause: String) {
            display("no reply from the store, the call may take effect: {cause}")
        }
        /// The reply can't be parsed.
        Malformed(cause: String) {
            display("invalid reply from the store: {cause}")
        }
        /// The fleet exceeded its rate of calls.
        RateLimited {
            display("the store rejected the call: rate limit exceeded")
        }
        /// The store no longer retains all changes after the given revision, or came
        /// back from an older copy.
        HistoryCompacted {
            display("the store has compacted the history after the given revision")
        }
        /// The lease is unknown or has expired.
        LeaseExpired {
            display("the lease is unknown or has expired")
        }
    }
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The items, in key order.
    pub items: Vec<Versioned>,
    /// Changes after this revision may be missing from the items.
    pub revision: Revision,
}

/// One page of the keys under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The items, in key order.
    pub items: Vec<Versioned>,
    /// Changes after this revision may be missing from the items.
    pub revision: Revision,
    /// True if there are more keys after this page.
    pub more: bool,
}

/// Changes under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The changes in revision order; empty if there were none within the wait.
    pub events: Vec<KvEvent>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// The platform's store. Implementations apply a timeout to each call.
///
/// Futures may be dropped at any time; the call may still take effect.
pub trait Store {
    /// Returns the latest era of the store that a reply has told. It rises when the
    /// store comes back from an older copy: the changes since that copy are lost,
    /// leases too, and their revisions are used again.
    fn era(&self) -> u64;

    /// Reads all keys that start with `prefix`. The result is not a snapshot:
    /// it is complete only with the changes after [`Listing::revision`].
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, StoreError>>;

    /// Reads one page of the keys that start with `prefix` and come after the
    /// key `after`. The store sets the page size.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<Page, StoreError>>;

    /// Waits at most `wait` for changes after revision `after` to keys that
    /// start with `prefix`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>>;

    /// Writes a key unconditionally; only for keys that no other host writes.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>>;

    /// Writes a key if it has the revision `expected`, zero if it must not exist. Returns
    /// the new revision, or none if the key has another one.
    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
    ) -> LocalBoxFuture<'a, Result<Option<Revision>, StoreError>>;

    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
