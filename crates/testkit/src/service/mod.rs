//! Stand-in of a plain service with a log of its requests.
//!
//! It responds to any method and path with the request as JSON, so that a test
//! sees which parts of a request were forwarded.

mod echo;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{Bytes, Data, ServiceConfig, get, to},
};

use crate::{
    Gate, RunLog,
    engine::LoadReport,
    leaving::Leaving,
    run_log::Run,
    server::{ANY_PORT, LocalServer},
};

pub use self::echo::Echo;

#[derive(Debug)]
struct Shared {
    log: RunLog,
    gate: Gate,
    leaving: Mutex<Leaving>,
    status: Mutex<StatusCode>,
    running: AtomicU32,
}

/// A running plain service.
pub struct ServiceStandIn {
    server: LocalServer,
    shared: Arc<Shared>,
}

impl ServiceStandIn {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start() -> io::Result<Self> {
        Self::start_at(ANY_PORT)
    }

    /// Starts a service on this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            log: RunLog::default(),
            gate: Gate::default(),
            leaving: Mutex::default(),
            status: Mutex::new(StatusCode::OK),
            running: AtomicU32::new(0),
        });
        let data = Data::from(shared.clone());
        let server = LocalServer::start(address, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone()).route("/v1/load", get().to(load)).default_service(to(call));
        })?;
        Ok(Self { server, shared })
    }

    /// The address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The requests that the service ran.
    #[must_use]
    pub fn log(&self) -> &RunLog {
        &self.shared.log
    }

    /// Blocks all responses while closed. A blocked request is logged as run.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Sets how the service announces that it is leaving.
    pub fn set_leaving(&self, leaving: Leaving) {
        *self.shared.leaving.lock().unwrap_or_else(PoisonError::into_inner) = leaving;
    }

    /// Sets the status of the responses.
    pub fn set_status(&self, status: StatusCode) {
        *self.shared.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

async fn call(service: Data<Shared>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let leaving = *service.leaving.lock().unwrap_or_else(PoisonError::into_inner);
    if leaving == Leaving::Refusing {
        return leaving.mark(&mut HttpResponse::ServiceUnavailable()).finish();
    }
    service.log.push(Run::new(&req, &body));
    service.running.fetch_add(1, Ordering::Relaxed);
    service.gate.wait_until_open().await;
    service.running.fetch_sub(1, Ordering::Relaxed);
    let status = *service.status.lock().unwrap_or_else(PoisonError::into_inner);
    let mut res = HttpResponse::build(status);
    leaving.mark(&mut res).json(Echo::new(&req, &body))
}

async fn load(service: Data<Shared>) -> HttpResponse {
    let running = service.running.load(Ordering::Relaxed);
    let leaving = *service.leaving.lock().unwrap_or_else(PoisonError::into_inner);
    let mut res = HttpResponse::Ok();
    leaving.mark(&mut res).json(LoadReport { running, ..LoadReport::default() })
}
