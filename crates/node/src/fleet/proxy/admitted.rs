//! An admitted request, and the requests to runners that are made from it.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyway_core::{
    fleet::{FleetConfig, PlacementRequest, RetryPolicy, Route, RunnerEntry, RunnerLoad},
    ids::WorkspaceName,
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use tokio::time::Instant;

use crate::{
    caller_memory::Caller,
    fleet::platform_format::{HeaderNames, header},
};

/// Time that a response takes on its way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// A request that was read completely and admitted.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) header_names: HeaderNames,
    /// Parses a runner's rate limit.
    pub(super) read_limit: fn(&str) -> Option<f64>,
    /// Parses what a runner says of its load.
    pub(super) read_load: fn(&str) -> Option<RunnerLoad>,
    /// Id that the caller gave.
    pub(super) caller_id: String,
    /// The caller's id of the stream that this request takes up.
    pub(super) resumes: Option<String>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for a runner, without those that differ for each attempt.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whom the body and the response are held for.
    pub(super) caller: Rc<Caller>,
    pub(super) config: Arc<FleetConfig>,
    pub(super) route: Route,
    pub(super) workspace: Option<WorkspaceName>,
    /// The placement request for the coordinator.
    pub(super) placement: PlacementRequest,
    /// Number of hosts that may be serving when the request arrived.
    pub(super) known_hosts: usize,
    pub(super) arrived: Instant,
    /// Deadline of the final response.
    pub(super) deadline: Instant,
}

impl AdmittedRequest {
    /// Returns true if the request may be sent again after it may have run.
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.retry != RetryPolicy::Never
    }

    /// Returns the number of generated tokens in one event of a stream.
    pub(super) fn tokens_per_event(&self) -> u32 {
        self.config.upstreams.get(&self.placement.upstream).map_or(1, |u| u.tokens_per_event)
    }

    /// Returns the request to a runner. If `after` is given, the stream resumes
    /// after that event.
    pub(super) fn request_to(
        &self,
        runner: &RunnerEntry,
        after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now() + RETURN_MARGIN);
        insert(&mut headers, self.header_names.deadline_ms, &left.as_millis().max(1).to_string());
        insert(&mut headers, self.header_names.expected_runner, runner.key.name.as_str());
        if let Some(workspace) = &self.workspace {
            insert(&mut headers, self.header_names.workspace, workspace.as_str());
        }
        if let Some(after) = after {
            insert(&mut headers, self.header_names.last_event_id, &after.to_string());
        }
        *req.headers_mut() = headers;
        req
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(header(name), value);
        }
        Err(e) => log::error!("invalid value for header {name}: {e}"),
    }
}

/// Returns the end-to-end headers, without the hop-by-hop ones.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in listed.flat_map(|value| value.split(',')) {
        if let Ok(name) = name.trim().parse::<HeaderName>() {
            kept.remove(name);
        }
    }
    for name in [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        kept.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        kept.remove(name);
    }
    kept
}
