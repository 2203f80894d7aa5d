//! Admission of one request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        FleetConfig, RequestContent, RequestDigest, Route, RunnerPaths, StopPhase, StreamBinding,
        Workspace,
    },
    ids::{HostId, RequestId, RunnerName},
    outcome::NotRunReason,
};
use comfreyway_platform::Revision;
use hyper::{
    HeaderMap, Request, Response, Uri,
    body::{Body, Incoming},
    header::{HOST, HeaderValue},
};
use tokio::{
    sync::mpsc::UnboundedSender,
    time::{Instant, timeout_at},
};

use crate::caller_memory::{BodyError, Caller, workspace_key};
use crate::events::{Event, log_event};
use crate::fleet::{
    body::read_body,
    host_state::HostState,
    platform_format::{PlatformFormat, header},
    request_handle::{RequestHandle, WorkerMessage},
    runner_connections::RunnerConnections,
};
use crate::metrics::FleetMetrics;

use super::{
    admitted::{AdmittedRequest, end_to_end},
    exchange::{close_after, exchange},
    placement::{PlacementInput, placement_request},
    response::{ResponseBody, not_run},
};

/// Time after which a caller may try again at a host without a usable
/// configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller may try again when the host stops; another host
/// accepts the request at once.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Time after which a caller may try again at a host without memory for its request:
/// callers that make no progress give way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Value of the header for the last event that asks for all events.
const NO_EVENT: &str = "0";

/// Limits from the settings.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct ProxyLimits {
    /// Staleness of the configuration above which API keys count as possibly
    /// revoked.
    pub(in crate::fleet) max_staleness: Duration,
}

/// State that all requests of one traffic thread share.
pub(in crate::fleet) struct ProxyState {
    pub(super) format: PlatformFormat,
    pub(super) host_state: Arc<HostState>,
    pub(super) connections: RunnerConnections,
    pub(super) paths: Rc<RefCell<RunnerPaths>>,
    pub(super) limits: ProxyLimits,
    pub(super) metrics: FleetMetrics,
    control: UnboundedSender<WorkerMessage>,
    host: HostId,
    ids: RequestIds,
    next_id: Cell<u64>,
}

/// Ids of one thread's requests. Hosts may start at the same time, so each
/// process draws a random number.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RequestIds {
    /// Drawn at random by each process.
    pub(in crate::fleet) process: u64,
    /// Number of the thread.
    pub(in crate::fleet) thread: u16,
}

impl RequestIds {
    fn id(self, number: u64) -> RequestId {
        let within = u64::from(self.thread) << 48 | number;
        RequestId::new(u128::from(self.process) << 64 | u128::from(within))
    }
}

/// Serves the callers of one traffic thread. Cheap to clone.
#[derive(Clone)]
pub(in crate::fleet) struct Proxy {
    pub(super) shared: Rc<ProxyState>,
}

impl std::ops::Deref for Proxy {
    type Target = ProxyState;

    fn deref(&self) -> &ProxyState {
        &self.shared
    }
}

impl ProxyState {
    /// Requests a runner. `sent` is the number of runners that the request was
    /// sent to before, `avoid` the last of them.
    pub(super) fn submit(
        &self,
        request: &AdmittedRequest,
        sent: u32,
        avoid: Option<RunnerName>,
    ) -> RequestHandle {
        self.submit_bound(request, sent, avoid, request.placement.stream.clone())
    }

    /// Requests a runner for a request that is bound to a stream in another way than
    /// at first.
    pub(super) fn submit_bound(
        &self,
        request: &AdmittedRequest,
        sent: u32,
        avoid: Option<RunnerName>,
        stream: Option<StreamBinding>,
    ) -> RequestHandle {
        let mut placement = request.placement.clone();
        placement.stream = stream;
        placement.record.age = request.arrived.elapsed();
        placement.prior_attempts = sent;
        placement.avoid = avoid;
        RequestHandle::submit(
            self.control.clone(),
            placement,
            &request.caller_id,
            self.metrics.clone(),
        )
    }

    /// Records a submitted request that no runner ran.
    pub(super) fn record_refusal(
        &self,
        request: &AdmittedRequest,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let record = &request.placement.record;
        self.metrics.not_run(reason);
        log_event!(
            Event::RequestRefused,
            id = request.caller_id.as_str(),
            reason = reason.as_str(),
            class:% = record.class,
            workspace:% = record.workspace,
            upstream:% = request.placement.upstream,
            waited_ms = request.arrived.elapsed().as_millis() as u64,
            retry_ms = retry_after.as_millis() as u64,
            revision:% = Revision(request.config.revision)
        );
    }

    fn new_request_id(&self) -> RequestId {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        self.ids.id(number)
    }
}

/// Refusal of a request before it is submitted.
struct Rejection(NotRunReason, Option<Duration>);

impl Rejection {
    fn stopping() -> Self {
        Self(NotRunReason::Stopping, Some(STOPPING_RETRY_AFTER))
    }
}

impl From<BodyError> for Rejection {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::TooLarge => NotRunReason::TooLarge.into(),
            BodyError::Broken => NotRunReason::BadRequest.into(),
            BodyError::Memory(_) => Self(NotRunReason::MemoryLimit, Some(MEMORY_RETRY_AFTER)),
        }
    }
}

impl From<NotRunReason> for Rejection {
    fn from(reason: NotRunReason) -> Self {
        Self(reason, None)
    }
}

impl Proxy {
    pub(in crate::fleet) fn new(
        format: PlatformFormat,
        host_state: Arc<HostState>,
        limits: ProxyLimits,
        metrics: FleetMetrics,
        control: UnboundedSender<WorkerMessage>,
        host: HostId,
        ids: RequestIds,
    ) -> Self {
        let connections = RunnerConnections::default();
        let next_id = Cell::new(0);
        let shared = ProxyState {
            format,
            host_state,
            connections,
            paths: Rc::default(),
            limits,
            metrics,
            control,
            host,
            ids,
            next_id,
        };
        Self { shared: Rc::new(shared) }
    }

    /// What this thread knows of its paths to runners.
    pub(in crate::fleet) fn paths(&self) -> Rc<RefCell<RunnerPaths>> {
        self.paths.clone()
    }

    /// Serves one request.
    pub(super) async fn handle(
        self,
        req: Request<Incoming>,
        caller: Rc<Caller>,
    ) -> Response<ResponseBody> {
        let id = req.headers().get(header(self.format.headers.request_id)).cloned();
        let mut res = match self.admit(req, caller.clone()).await {
            Ok(request) => exchange(&self, request).await,
            Err((Rejection(reason, retry_after), unread)) => {
                self.record_rejection(id.as_ref(), reason);
                let mut res = not_run(None, reason, retry_after);
                if unread {
                    caller.set_unread();
                    close_after(&mut res);
                }
                res
            }
        };
        if self.host_state.is_stopping() {
            close_after(&mut res);
        }
        res
    }

    /// Records a request that was refused before it was submitted.
    fn record_rejection(&self, id: Option<&HeaderValue>, reason: NotRunReason) {
        let staleness = self.host_state.clock.now().since(self.host_state.verified_at());
        self.metrics.not_run(reason);
        log_event!(
            Event::RequestRefused,
            id = id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
            reason = reason.as_str(),
            revision:% = Revision(self.host_state.config().map_or(0, |config| config.revision)),
            proof_ms = staleness.as_millis() as u64
        );
    }

    /// Checks and reads a request. The second value of an error is true if the
    /// body was not read to its end.
    async fn admit(
        &self,
        req: Request<Incoming>,
        caller: Rc<Caller>,
    ) -> Result<AdmittedRequest, (Rejection, bool)> {
        let arrived = Instant::now();
        let (head, mut body) = req.into_parts();
        let unread = !body.is_end_stream();
        let reject = |reason: Rejection| (reason, unread);
        if self.host_state.stop_phase() >= StopPhase::Refusing {
            // The time left until the stop limit may be too short for a
            // response.
            return Err(reject(Rejection::stopping()));
        }
        let config = self.host_state.config().ok_or_else(|| {
            reject(Rejection(NotRunReason::NotReady, Some(NOT_READY_RETRY_AFTER)))
        })?;
        let header_names = self.format.headers;
        let text = |name| head.headers.get(header(name)).and_then(|value| value.to_str().ok());
        let Some(caller_id) = text(header_names.request_id).map(str::to_owned) else {
            return Err(reject(NotRunReason::BadRequest.into()));
        };
        let resumes = text(header_names.resumes).map(str::to_owned);
        let host = requested_host(&head.headers, &head.uri);
        let route = host.as_deref().and_then(|host| config.route(host, head.uri.path())).cloned();
        let route = route.ok_or_else(|| reject(NotRunReason::UnknownRoute.into()))?;
        let workspace =
            self.workspace(&config, &route, text(header_names.api_key)).map_err(reject)?;
        let caller_wait =
            text(header_names.deadline_ms).and_then(|value| value.trim().parse().ok());
        let caller_wait = caller_wait.map(Duration::from_millis);
        let deadline = arrived + caller_wait.unwrap_or(route.time_limit).min(route.time_limit);
        let max = config.limits.max_body_bytes;
        let read_until = deadline.min(arrived + config.limits.read_timeout);
        caller.begin_body(workspace.as_ref().map(|w| workspace_key(&w.name)).unwrap_or_default());
        let body = tokio::select! {
            read = timeout_at(read_until, read_body(&mut body, max, &caller)) => {
                let read = read.map_err(|_| reject(NotRunReason::SlowBody.into()))?;
                read.map_err(|e| reject(e.into()))?
            }
            () = self.host_state.stop_phase_reached(StopPhase::Dispatched) => {
                return Err(reject(Rejection::stopping()));
            }
        };
        let usage =
            text(header_names.token_usage).and_then(|value| (self.format.read_usage)(value));
        let parts = list_value(&head.headers, header_names.prompt_parts);
        let parts = parts.map(|parts| (self.format.read_parts)(&parts));
        let id = self.new_request_id();
        let last_event = text(header_names.last_event_id).map(str::trim);
        let takes_up = last_event.is_some_and(|last| !last.is_empty() && last != NO_EVENT);
        let mut headers = end_to_end(&head.headers);
        for name in header_names.host_only {
            headers.remove(*name);
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse::<Uri>().map_err(|_| reject(NotRunReason::BadRequest.into()))?;
        let digest = RequestDigest::new(&RequestContent {
            workspace: workspace.as_ref().map(|w| &w.name),
            method: head.method.as_str(),
            host: host.as_deref().unwrap_or_default(),
            target: path,
            body: &body,
        });
        let placement = placement_request(&PlacementInput {
            id,
            host: &self.host,
            config: &config,
            route: &route,
            workspace: workspace.as_ref(),
            usage,
            parts: parts.as_deref().unwrap_or_default(),
            length_hint: text(header_names.length_hint).and_then(|hint| hint.trim().parse().ok()),
            began_as: resumes.as_deref().filter(|_| takes_up).unwrap_or(&caller_id),
            takes_up,
            caller_wait,
            body_bytes: body.len(),
            digest,
        });
        let mut placement = placement.ok_or_else(|| reject(NotRunReason::NoRunner.into()))?;
        placement.time_limit = deadline - arrived;
        Ok(AdmittedRequest {
            header_names,
            read_limit: self.format.read_limit,
            read_load: self.format.read_load,
            caller_id,
            resumes,
            method: head.method,
            uri,
            headers,
            body,
            caller,
            workspace: workspace.map(|w| w.name),
            config,
            route,
            placement,
            known_hosts: self.host_state.hosts(),
            arrived,
            deadline,
        })
    }

    fn workspace(
        &self,
        config: &FleetConfig,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Workspace>, Rejection> {
        if !config.keys_required || route.public {
            return Ok(None);
        }
        let staleness = self.host_state.clock.now().since(self.host_state.verified_at());
        if staleness > self.limits.max_staleness {
            return Err(Rejection(NotRunReason::StaleConfiguration, Some(NOT_READY_RETRY_AFTER)));
        }
        let workspace = key.and_then(|key| config.workspace_of(key)).cloned();
        workspace.map(Some).ok_or_else(|| NotRunReason::UnknownKey.into())
    }
}

/// Returns the value of a header that is a list. It may come in several lines, and what is
/// no text in it doesn't hide the rest.
fn list_value(headers: &HeaderMap, name: &'static str) -> Option<String> {
    let lines = headers.get_all(header(name)).iter();
    let lines: Vec<_> = lines.map(|line| String::from_utf8_lossy(line.as_bytes())).collect();
    (!lines.is_empty()).then(|| lines.join(","))
}

/// Returns the host that the caller named, in lower case and without its port.
fn requested_host(headers: &HeaderMap, uri: &Uri) -> Option<String> {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok()).or_else(|| uri.host())?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase())
}
