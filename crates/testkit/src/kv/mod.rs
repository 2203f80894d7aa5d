//! Stand-in of the key-value service: the part of the etcd v3 JSON gateway that
//! the scheduler uses, with faults.
//!
//! The keys live in the embedded store of the platform package; this module
//! adds the wire and the faults. The store outlives a stop, as the real service
//! keeps its values over an outage.

mod calls;
mod faults;
mod handlers;
mod rate;
mod watch;

use std::{io, net::SocketAddr, sync::Arc};

use actix_web::web::{Data, ServiceConfig};
use comfreyway_platform::EmbeddedKeyValue;

use crate::{daemon::own_address, server::LocalServer};

pub use self::{
    calls::{CallCounts, CallKind},
    faults::{KvFaults, Outage},
};

use self::{calls::Counters, faults::FaultSwitch};

pub(crate) struct Shared {
    store: EmbeddedKeyValue,
    faults: FaultSwitch,
    counters: Counters,
}

/// A running key-value service.
pub struct KvStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: Option<LocalServer>,
}

impl KvStandIn {
    /// Starts an empty service without faults.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_platform::{EtcdConfig, EtcdKeyValue, KeyValue, Revision};
    /// use comfreyway_testkit::kv::KvStandIn;
    ///
    /// let standin = KvStandIn::start().unwrap();
    /// # actix_rt::System::new().block_on(async {
    /// let kv = EtcdKeyValue::new(EtcdConfig::new(vec![standin.address()]));
    /// kv.compare_and_swap("a", Revision(0), b"1".to_vec(), None).await.unwrap();
    /// assert_eq!(kv.get("a").await.unwrap().unwrap().value, b"1");
    /// # });
    /// ```
    pub fn start() -> io::Result<Self> {
        // Nobody else takes the port of this address while the service is stopped.
        Self::start_at(own_address())
    }

    /// Starts an empty service at this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store: EmbeddedKeyValue::new(),
            faults: FaultSwitch::default(),
            counters: Counters::default(),
        });
        let server = serve(address, &shared)?;
        Ok(Self { address: server.address(), shared, server: Some(server) })
    }

    /// The address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The keys behind the service, reached past its faults.
    #[must_use]
    pub fn store(&self) -> &EmbeddedKeyValue {
        &self.shared.store
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.shared.faults.set(faults);
    }

    /// Calls so far, by kind.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.counters.read()
    }

    /// Stops listening and cuts all connections. The keys are kept.
    pub fn stop(&mut self) {
        self.server = None;
    }

    /// Listens again at the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound any more.
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
