//! Stand-in of a runner in a fleet: a plain service or an engine that streams.
//!
//! Responds on any path, in the [`RunnerMode`] that the test sets, and logs the
//! requests that it ran with their headers.

mod handler;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use actix_web::web::{Data, PayloadConfig, ServiceConfig, to};

use crate::{
    gate::Gate,
    server::{ANY_PORT, LocalServer},
};

/// How a runner responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerMode {
    /// Responds with a body that is not streamed.
    #[default]
    Whole,
    /// Streams this many events.
    Stream(u64),
    /// Streams this many events and closes the connection in the middle of the
    /// next one.
    CutAfter(u64),
    /// Responds with status 500.
    Fails,
    /// Responds with status 503 and the header for a request that was not run.
    NotExecuted,
    /// Responds as `Whole` and says that it is leaving.
    Leaving,
    /// Streams this many events and says that it is leaving.
    LeavingStream(u64),
    /// Responds as `NotExecuted` and asks for this many milliseconds of rest.
    Rest(u64),
    /// Responds as `NotExecuted` with this value of the header that asks for rest.
    RestHeader(&'static str),
    /// Responds with status 421, as a runner of another name does.
    Misdirected,
    /// Closes the connection before the response.
    Disconnect,
    /// Responds with the ID of another request.
    WrongRequestId,
    /// Responds without the signature header.
    Unsigned,
}

/// A request that a runner ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRun {
    /// Value of the request ID header, or empty.
    pub request_id: String,
    /// Path and query.
    pub target: String,
    /// Headers, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it arrived.
    pub arrived_at: Instant,
}

pub(crate) struct Shared {
    name: String,
    mode: Mutex<RunnerMode>,
    version: Mutex<String>,
    /// Value of the header that names a rate limit, if any.
    limit: Mutex<Option<String>>,
    /// The part of a prompt that crashes the runner, if any.
    crashing_part: Mutex<Option<String>>,
    /// The body of a request that crashes the runner, if any.
    crashing_body: Mutex<Option<Vec<u8>>>,
    /// Time before each response.
    work_time: Mutex<Duration>,
    crashed: AtomicBool,
    gate: Gate,
    runs: Mutex<Vec<RunnerRun>>,
    arrivals: AtomicUsize,
}

impl Shared {
    /// Returns true if a request with this body, or a prompt with these parts, crashes the
    /// runner.
    fn crashes_on(&self, body: &[u8], parts: &str) -> bool {
        let crashing = self.crashing_body.lock().unwrap_or_else(PoisonError::into_inner);
        if crashing.as_deref() == Some(body) {
            return true;
        }
        let crashing = self.crashing_part.lock().unwrap_or_else(PoisonError::into_inner);
        let is_crashing = |part: &str| Some(part.split(':').next()) == Some(crashing.as_deref());
        crashing.is_some() && parts.split(',').any(is_crashing)
    }

    /// Returns what the software version adds to each event.
    fn version(&self) -> String {
        self.version.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A running stand-in of a runner.
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
            version: Mutex::default(),
            limit: Mutex::default(),
            crashing_part: Mutex::default(),
            crashing_body: Mutex::default(),
            work_time: Mutex::default(),
            crashed: AtomicBool::new(false),
            gate: Gate::default(),
            runs: Mutex::default(),
            arrivals: AtomicUsize::new(0),
        });
        let data = Data::from(shared.clone());
        let server = LocalServer::start(ANY_PORT, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone())
                .app_data(PayloadConfig::new(16 << 20))
                .default_service(to(handler::respond));
        })?;
        Ok(Self { shared, server })
    }

    /// Name of the runner.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the runner responds to new requests.
    pub fn set_mode(&self, mode: RunnerMode) {
        *self.shared.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Sets the software version, which each event of a new stream then names.
    pub fn set_version(&self, version: &str) {
        *self.shared.version.lock().unwrap_or_else(PoisonError::into_inner) =
            format!(" of {version}");
    }

    /// Sets the rate limit that each response names.
    pub fn set_limit(&self, limit: Option<&str>) {
        let limit = limit.map(str::to_owned);
        *self.shared.limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    /// Lets the runner crash as it begins to respond to a prompt with this part.
    pub fn crash_on(&self, part: &str) {
        let part = Some(part.to_owned());
        *self.shared.crashing_part.lock().unwrap_or_else(PoisonError::into_inner) = part;
    }

    /// Lets the runner crash as it begins to respond to a request with this body.
    pub fn crash_on_body(&self, body: &[u8]) {
        let body = Some(body.to_owned());
        *self.shared.crashing_body.lock().unwrap_or_else(PoisonError::into_inner) = body;
    }

    /// Sets the time that the runner works on each request before it responds.
    pub fn set_work_time(&self, time: Duration) {
        *self.shared.work_time.lock().unwrap_or_else(PoisonError::into_inner) = time;
    }

    /// Returns true if the runner has crashed: the test then drops it, which breaks all
    /// its connections.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.shared.crashed.load(Ordering::Relaxed)
    }

    /// Blocks requests while closed, after they are logged as run.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Number of requests that reached the runner, whether it ran them or not.
    #[must_use]
    pub fn arrivals(&self) -> usize {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// The requests that the runner ran.
    #[must_use]
    pub fn runs(&self) -> Vec<RunnerRun> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
