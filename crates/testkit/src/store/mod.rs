//! Stand-in of the platform's store, with its protocol and its faults.
//!
//! It uses the wire types of the adapter, so that stand-in and client can't differ
//! in names. The keys are in the embedded store of the platform package and
//! survive a stop, as the real store keeps its values over an outage.

mod calls;
mod faults;
mod handlers;
mod lease_clock;
mod rate;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use actix_web::web::{Data, ServiceConfig};
use comfreyway_platform::{EmbeddedKeyValue, Revision, embedded};

use crate::{daemon::unique_address, server::LocalServer};

pub use self::{
    calls::{CallCounts, CallKind},
    faults::{StoreFaults, StoreOutage},
};

use self::{calls::Counters, faults::ActiveFaults, lease_clock::LeaseClock};

pub(crate) struct Shared {
    keys: EmbeddedKeyValue,
    clock: Arc<LeaseClock>,
    faults: ActiveFaults,
    counters: Counters,
    era: AtomicU64,
}

impl Shared {
    fn new() -> Self {
        let clock = Arc::new(LeaseClock::new());
        let store_clock = clock.clone();
        let keys = EmbeddedKeyValue::with_clock(move || store_clock.now());
        Self {
            keys,
            clock,
            faults: ActiveFaults::default(),
            counters: Counters::default(),
            era: AtomicU64::new(1),
        }
    }
}

/// A copy of the store's keys and leases.
#[derive(Clone, Debug)]
pub struct StoreCopy(embedded::MemoryStore);

/// A running stand-in of the store.
pub struct StoreStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: Option<LocalServer>,
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
        let shared = Arc::new(Shared::new());
        // No other process binds this address while the store is stopped.
        let server = serve(unique_address(), &shared)?;
        Ok(Self { address: server.address(), shared, server: Some(server) })
    }

    /// The address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The keys of the store, accessed without its faults.
    #[must_use]
    pub fn keys(&self) -> &EmbeddedKeyValue {
        &self.shared.keys
    }

    /// Writes a key without faults and returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.shared.keys.with_store(|keys, now| {
            let present = keys.get(key, now).map_or(Revision(0), |entry| entry.revision);
            // Can't fail: the revision is the current one, and there is no lease.
            let _ = keys.compare_and_swap(key, present, value.to_vec(), None, now);
            keys.revision().0
        })
    }

    /// Deletes a key without faults.
    pub fn delete(&self, key: &str) {
        self.shared.keys.with_store(|keys, now| {
            let present = keys.get(key, now).map_or(Revision(0), |entry| entry.revision);
            keys.compare_and_delete(key, present, now);
        });
    }

    /// Lists the keys with this prefix, without faults.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let items = self.shared.keys.with_store(|keys, now| keys.list(prefix, now));
        items.into_iter().map(|item| item.key).collect()
    }

    /// Compacts the history of changes, as the real store may at any time.
    pub fn compact(&self) {
        self.shared.keys.with_store(|keys, _| embedded::MemoryStore::compact(keys));
    }

    /// Copies all keys and leases.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.keys.with_store(|keys, _| keys.clone()))
    }

    /// Comes back from an older copy: all later changes are lost, leases too, and
    /// their revisions are used again.
    pub fn restore(&self, copy: StoreCopy) {
        self.shared.keys.with_store(|keys, _| {
            *keys = copy.0;
            self.shared.era.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Pauses or resumes the clock of all leases.
    pub fn pause_leases(&self, pause: bool) {
        self.shared.clock.pause(pause);
    }

    /// Sets the faults, which replaces all earlier ones.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.set(faults);
    }

    /// Number of calls so far, by kind.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.counters.read()
    }

    /// Stops listening and closes all connections. The keys are kept.
    pub fn stop(&mut self) {
        self.server = None;
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound again.
    pub fn start_again(&mut self) -> io::Result<()> {
        if self.server.is_none() {
            self.server = Some(serve(self.address, &self.shared)?);
        }
        Ok(())
    }
}

fn serve(address: SocketAddr, shared: &Arc<Shared>) -> io::Result<LocalServer> {
    let shared = Data::from(shared.clone());
    LocalServer::start(address, move |cfg: &mut ServiceConfig| {
        cfg.app_data(shared.clone()).configure(handlers::configure);
    })
}
