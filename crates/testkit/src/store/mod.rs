//! Stand-in of the platform's store, with its protocol and its faults.
//!
//! Speaks the messages of the adapter's own border types, so that stand-in and
//! client can't disagree on names. A store that is stopped keeps its keys.

mod faults;
mod handlers;
mod keys;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use actix_web::web::{Data, ServiceConfig};

use crate::server::{ANY_PORT, LocalServer};

pub use self::faults::{StoreCall, StoreFaults, StoreOutage};

use self::keys::Keys;

/// Time between two looks for changes by a waiting watch.
const WATCH_POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
pub(crate) struct Shared {
    keys: Mutex<Keys>,
    faults: Mutex<StoreFaults>,
    calls: Mutex<BTreeMap<StoreCall, u64>>,
}

impl Shared {
    fn keys<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut Keys) -> T,
    {
        f(&mut self.keys.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn faults(&self) -> StoreFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, call: StoreCall) {
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner).entry(call).or_default() += 1;
    }
}

/// A running store.
pub struct StoreStandIn {
    shared: Arc<Shared>,
    server: LocalServer,
}

impl StoreStandIn {
    /// Starts an empty store without faults.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_adapter::StoreClient;
    /// use comfreyway_platform::Store;
    /// use comfreyway_testkit::store::StoreStandIn;
    ///
    /// let standin = StoreStandIn::start().unwrap();
    /// standin.put("servers/a", b"1");
    /// # actix_rt::System::new().block_on(async {
    /// let store = StoreClient::new(standin.address());
    /// let listing = store.list("servers/").await.unwrap();
    /// assert_eq!(listing.items[0].value, b"1");
    /// # });
    /// ```
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = Data::from(shared.clone());
        let server = LocalServer::start(ANY_PORT, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone()).configure(handlers::configure);
        })?;
        Ok(Self { shared, server })
    }

    /// The address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a key past all faults and returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.shared.keys(|keys| keys.put(key, value.to_vec(), 0))
    }

    /// Deletes a key past all faults.
    pub fn delete(&self, key: &str) {
        self.shared.keys(|keys| keys.delete(key));
    }

    /// Keys under a prefix, past all faults.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<String> {
        self.shared.keys(|keys| keys.range(prefix, "").into_iter().map(|item| item.key).collect())
    }

    /// Forgets all changes so far, as the store may at any time.
    pub fn compact(&self) {
        self.shared.keys(Keys::compact);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Calls so far of this kind.
    #[must_use]
    pub fn calls(&self, call: StoreCall) -> u64 {
        let calls = self.shared.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.get(&call).copied().unwrap_or(0)
    }
}
