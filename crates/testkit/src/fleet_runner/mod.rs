//! Stand-in of a runner of a fleet: a plain service or an engine that streams.
//!
//! Answers any path. What it does with a request is set by the test; what it
//! ran is logged with the headers that it got.

mod handler;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use actix_web::web::{Data, PayloadConfig, ServiceConfig, to};

use crate::{
    gate::Gate,
    server::{ANY_PORT, LocalServer},
};

/// What a runner does with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerMode {
    /// Answers in one piece.
    #[default]
    Whole,
    /// Streams this many events.
    Stream(u64),
    /// Streams this many events and breaks off in the middle of the next one.
    CutAfter(u64),
    /// Answers that it failed.
    Fails,
    /// States that it did not run the request.
    NotExecuted,
    /// Answers that it is another runner.
    Misdirected,
    /// Breaks off before the answer.
    Disconnect,
    /// Answers for another request.
    WrongRequestId,
    /// Answers without its signature.
    Unsigned,
}

/// A request that a runner ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRun {
    /// Identity that the caller gave.
    pub request_id: String,
    /// Path and query.
    pub target: String,
    /// Headers, in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

pub(crate) struct Shared {
    name: String,
    mode: Mutex<RunnerMode>,
    gate: Gate,
    runs: Mutex<Vec<RunnerRun>>,
}

/// A running runner.
pub struct FleetRunner {
    shared: Arc<Shared>,
    server: LocalServer,
}

impl FleetRunner {
    /// Starts a runner with this name.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(name: &str, mode: RunnerMode) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            mode: Mutex::new(mode),
            gate: Gate::default(),
            runs: Mutex::default(),
        });
        let data = Data::from(shared.clone());
        let server = LocalServer::start(ANY_PORT, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone())
                .app_data(PayloadConfig::new(16 << 20))
                .default_service(to(handler::answer));
        })?;
        Ok(Self { shared, server })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what it does from now on.
    pub fn set_mode(&self, mode: RunnerMode) {
        *self.shared.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Holds its work while closed.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// What it ran.
    #[must_use]
    pub fn runs(&self) -> Vec<RunnerRun> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
