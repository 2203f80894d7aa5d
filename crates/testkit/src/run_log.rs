//! A log of the requests that a stand-in ran, so that a test can count them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::HttpRequest;
use comfreyway_proto::headers;
use tokio::sync::watch;

/// One request that a stand-in ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Method of the request.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the request ID header, or empty.
    pub request_id: String,
    /// Value of the idempotency key header, or empty.
    pub idempotency_key: String,
    /// Value of the workspace header, or empty.
    pub workspace: String,
    /// Value of the fencing token header, or empty.
    pub fencing: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Run {
    /// Records a request and the headers that a test counts by.
    #[must_use]
    pub fn new(req: &HttpRequest, body: &[u8]) -> Self {
        Self {
            method: req.method().to_string(),
            path: req.uri().to_string(),
            request_id: header(req, headers::REQUEST_ID),
            idempotency_key: header(req, headers::IDEMPOTENCY_KEY),
            workspace: header(req, headers::WORKSPACE),
            fencing: header(req, headers::FENCING),
            body: body.to_vec(),
        }
    }
}

/// The value of a header as text, or an empty text.
pub(crate) fn header(req: &HttpRequest, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// All requests that a stand-in ran. Clones share the log.
#[derive(Clone, Debug)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<Run>>>,
    count: Arc<watch::Sender<usize>>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self { runs: Arc::default(), count: Arc::new(watch::channel(0).0) }
    }
}

impl RunLog {
    pub(crate) fn push(&self, run: Run) {
        let mut runs = self.lock();
        runs.push(run);
        self.count.send_replace(runs.len());
    }

    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// Number of runs so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Number of runs with this request ID.
    #[must_use]
    pub fn count_of(&self, request_id: &str) -> usize {
        self.lock().iter().filter(|run| run.request_id == request_id).count()
    }

    /// Number of runs with this idempotency key.
    #[must_use]
    pub fn count_of_key(&self, idempotency_key: &str) -> usize {
        self.lock().iter().filter(|run| run.idempotency_key == idempotency_key).count()
    }

    /// Waits until there are at least `count` runs.
    pub async fn reached(&self, count: usize) {
        let mut rx = self.count.subscribe();
        // Never fails: the log owns the sender.
        let _ = rx.wait_for(|&n| n >= count).await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
