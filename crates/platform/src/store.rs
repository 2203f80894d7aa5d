//! The platform's store as a fleet uses it.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::{KvEvent, LeaseId, Revision, Versioned};

quick_error! {
    /// Failure of a call to the store.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The call certainly had no effect.
        NotDone(cause: String) {
            display("the store did not take the call: {cause}")
        }
        /// The call may have its effect now or later; there was no reply.
        Uncertain(cause: String) {
            display("the store's reply is missing: {cause}")
        }
        /// The reply can't be understood.
        Malformed(cause: String) {
            display("the store's reply can't be read: {cause}")
        }
        /// The fleet makes more calls than it may.
        RateLimited {
            display("the store refused the call for its rate")
        }
        /// The changes after the given revision are no longer kept.
        HistoryCompacted {
            display("the store has discarded the history after the given revision")
        }
        /// The lease is unknown or has lapsed.
        LeaseExpired {
            display("the lease has lapsed")
        }
    }
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The items, in order of keys.
    pub items: Vec<Versioned>,
    /// Changes after this revision may be missing from the items.
    pub revision: Revision,
}

/// Some keys under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The items, in order of keys.
    pub items: Vec<Versioned>,
    /// Changes after this revision may be missing from the items.
    pub revision: Revision,
    /// True if there are more keys after these.
    pub more: bool,
}

/// What changed under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The changes, in order of revisions; none if nothing changed in time.
    pub events: Vec<KvEvent>,
    /// Revision from which to watch on.
    pub revision: Revision,
}

/// The platform's store. Implementations limit the time of each call.
///
/// Every future may be dropped; a dropped call may still have its effect.
pub trait Store {
    /// Reads all keys that start with `prefix`. The result is no snapshot: it
    /// is complete together with the changes after [`Listing::revision`].
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, StoreError>>;

    /// Reads the first keys that start with `prefix` and come after the key
    /// `after`, as many as the store tells at once.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<Page, StoreError>>;

    /// Waits at most `wait` for changes after `after` of the keys that start
    /// with `prefix`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>>;

    /// Writes a key that only this host writes.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>>;

    /// Grants a lease that lapses `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
