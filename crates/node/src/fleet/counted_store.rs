//! Counts the calls to the platform's store, which are billed.

use std::{rc::Rc, time::Duration};

use comfreyway_platform::{Changes, LeaseId, Listing, Page, Revision, Store, StoreError};
use futures_util::{FutureExt, future::LocalBoxFuture};

use crate::metrics::FleetMetrics;

/// A store whose calls are counted.
pub(super) struct CountedStore {
    store: Rc<dyn Store>,
    metrics: FleetMetrics,
}

impl CountedStore {
    /// Counts the calls to `store`.
    pub(super) fn new(store: Rc<dyn Store>, metrics: FleetMetrics) -> Self {
        Self { store, metrics }
    }

    fn count<'a, T>(
        &'a self,
        kind: &'static str,
        call: LocalBoxFuture<'a, Result<T, StoreError>>,
    ) -> LocalBoxFuture<'a, Result<T, StoreError>>
    where
        T: 'a,
    {
        let counted = call.inspect(move |result| {
            let outcome = match result {
                Ok(_) => "done",
                Err(StoreError::NotDone(_)) => "not-done",
                Err(StoreError::Uncertain(_)) => "uncertain",
                Err(StoreError::Malformed(_)) => "malformed",
                Err(StoreError::RateLimited) => "over-rate",
                Err(StoreError::HistoryCompacted) => "history-gone",
                Err(StoreError::LeaseExpired) => "lease-lapsed",
            };
            self.metrics.store_call(kind, outcome);
        });
        Box::pin(counted)
    }
}

impl Store for CountedStore {
    fn era(&self) -> u64 {
        self.store.era()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, StoreError>> {
        self.count("list", self.store.list(prefix))
    }

    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<Page, StoreError>> {
        self.count("page", self.store.page(prefix, after))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>> {
        self.count("watch", self.store.watch(prefix, after, wait))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        self.count("put", self.store.put(key, value, lease))
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
    ) -> LocalBoxFuture<'a, Result<Option<Revision>, StoreError>> {
        self.count("put-if", self.store.put_if(key, expected, value))
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>> {
        self.count("grant-lease", self.store.grant_lease(ttl))
    }

    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.count("renew-lease", self.store.renew_lease(lease))
    }

    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.count("end-lease", self.store.revoke_lease(lease))
    }
}
