//! An in-memory key-value store that clones and threads share.

use std::{
    collections::VecDeque,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::{
    future::{FutureExt, LocalBoxFuture, ready},
    stream::{LocalBoxStream, StreamExt, unfold},
};
use tokio::sync::watch;

use crate::{CasOutcome, KeyValue, KvEvent, LeaseId, PlatformError, Revision, Versioned};

use super::MemoryStore;

/// Longest time between two checks of a watch for expired leases.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(1);

/// An in-memory key-value store. Clones share its contents and may be used on
/// different threads.
///
/// # Examples
///
/// ```
/// use comfreyway_platform::{EmbeddedKeyValue, KeyValue, Revision};
///
/// # actix_rt::System::new().block_on(async {
/// let kv = EmbeddedKeyValue::new();
/// kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await.unwrap();
/// assert_eq!(kv.clone().get("a").await.unwrap().unwrap().value, b"1");
/// # });
/// ```
#[derive(Clone)]
pub struct EmbeddedKeyValue {
    shared: Arc<Shared>,
}

struct Shared {
    store: Mutex<MemoryStore>,
    changed: watch::Sender<Revision>,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
}

impl fmt::Debug for EmbeddedKeyValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EmbeddedKeyValue").finish_non_exhaustive()
    }
}

impl Default for EmbeddedKeyValue {
    fn default() -> Self {
        Self::new()
    }
}

impl EmbeddedKeyValue {
    /// Creates an empty store that reads the process's monotonic clock.
    #[must_use]
    pub fn new() -> Self {
        let start = Instant::now();
        Self::with_clock(move || start.elapsed())
    }

    /// Creates an empty store whose leases expire by `clock`.
    #[must_use]
    pub fn with_clock<F>(clock: F) -> Self
    where
        F: Fn() -> Duration + Send + Sync + 'static,
    {
        let (changed, _) = watch::channel(Revision(0));
        let shared =
            Shared { store: Mutex::new(MemoryStore::new()), changed, clock: Box::new(clock) };
        Self { shared: Arc::new(shared) }
    }

    /// Calls `call` with the store and the current time, then wakes the watches
    /// if a key changed.
    pub fn with_store<T, F>(&self, call: F) -> T
    where
        F: FnOnce(&mut MemoryStore, Duration) -> T,
    {
        let now = (self.shared.clock)();
        let mut store = self.lock();
        let result = call(&mut store, now);
        let revision = store.revision();
        drop(store);
        self.shared.changed.send_if_modified(|seen| {
            let newer = *seen < revision;
            *seen = revision.max(*seen);
            newer
        });
        result
    }

    /// Streams the changes after revision `after` to keys that start with
    /// `prefix`.
    #[must_use]
    pub fn changes(
        &self,
        prefix: &str,
        after: Revision,
    ) -> LocalBoxStream<'static, Result<KvEvent, PlatformError>> {
        let watch = Watch {
            kv: self.clone(),
            prefix: prefix.to_owned(),
            after,
            changed: self.shared.changed.subscribe(),
            buffered: VecDeque::new(),
            ended: false,
        };
        unfold(watch, Watch::next).boxed_local()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryStore> {
        self.shared.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeyValue for EmbeddedKeyValue {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Versioned>, PlatformError>> {
        ready(Ok(self.with_store(|store, now| store.get(key, now)))).boxed_local()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Versioned>, PlatformError>> {
        ready(Ok(self.with_store(|store, now| store.list(prefix, now)))).boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let outcome =
            self.with_store(|store, now| store.compare_and_swap(key, expected, value, lease, now));
        ready(outcome).boxed_local()
    }

    fn compare_and_delete<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let outcome = self.with_store(|store, now| store.compare_and_delete(key, expected, now));
        ready(Ok(outcome)).boxed_local()
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>> {
        ready(Ok(self.with_store(|store, now| store.grant_lease(ttl, now)))).boxed_local()
    }

    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<Duration, PlatformError>> {
        ready(self.with_store(|store, now| store.renew_lease(lease, now))).boxed_local()
    }

    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        ready(self.with_store(|store, now| store.revoke_lease(lease, now))).boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> LocalBoxStream<'a, Result<KvEvent, PlatformError>> {
        self.changes(prefix, after)
    }
}

struct Watch {
    kv: EmbeddedKeyValue,
    prefix: String,
    after: Revision,
    changed: watch::Receiver<Revision>,
    buffered: VecDeque<KvEvent>,
    ended: bool,
}

impl Watch {
    async fn next(mut self) -> Option<(Result<KvEvent, PlatformError>, Self)> {
        loop {
            if self.ended {
                return None;
            }
            if let Some(event) = self.buffered.pop_front() {
                return Some((Ok(event), self));
            }
            self.changed.mark_unchanged();
            match self.read() {
                Ok(events) => self.buffered = events.into(),
                Err(e) => {
                    self.ended = true;
                    return Some((Err(e), self));
                }
            }
            if self.buffered.is_empty() {
                self.wait().await;
            }
        }
    }

    fn read(&mut self) -> Result<Vec<KvEvent>, PlatformError> {
        let Self { kv, prefix, after, .. } = self;
        let (events, revision) = kv.with_store(|store, now| {
            let events = store.changes(prefix, *after, now);
            (events, store.revision())
        });
        *after = revision.max(*after);
        events
    }

    /// Waits for a change or the next expiry of a lease.
    async fn wait(&mut self) {
        let until_expiry =
            self.kv.with_store(|store, now| store.next_expiry().map(|at| at.saturating_sub(now)));
        let wait = until_expiry.map_or(MAX_WATCH_WAIT, |left| left.min(MAX_WATCH_WAIT));
        // The caller reads the changes again after either outcome.
        let _ = tokio::time::timeout(wait, self.changed.changed()).await;
    }
}
