//! Admission of one request.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyway_core::{
    fleet::{FleetConfig, PlacementRequest, Route, Workspace},
    ids::{HostId, RequestId, RunnerName, WorkspaceName},
    outcome::NotRunReason,
    request::RequestRecord,
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, Uri,
    body::{Body, Incoming},
    header::{HOST, HeaderValue},
};
use tokio::{
    sync::mpsc::UnboundedSender,
    time::{Instant, timeout_at},
};

use crate::events::{Event, log_event};
use crate::fleet::{
    knowledge::{InProgress, Knowledge},
    links::Links,
    platform_format::{PlatformFormat, header},
    ticket::{Ticket, WorkerMessage},
};
use crate::metrics::FleetMetrics;

use super::{
    answer::{AnswerBody, not_run},
    call::{Call, end_to_end},
    exchange::{close_after, exchange},
};

/// `Retry-After` of a host without a usable configuration.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a stopping host; another host accepts the request at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// Workspace of requests that need no API key.
const PUBLIC_WORKSPACE: &str = "public";

/// Limits from the settings.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct FrontLimits {
    /// Staleness of the configuration above which API keys count as possibly
    /// revoked.
    pub(in crate::fleet) proof_age: Duration,
}

/// State that all requests of one traffic thread share.
pub(in crate::fleet) struct FrontShared {
    pub(super) format: PlatformFormat,
    pub(super) knowledge: Arc<Knowledge>,
    pub(super) links: Links,
    pub(super) limits: FrontLimits,
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
pub(in crate::fleet) struct Front {
    pub(super) shared: Rc<FrontShared>,
}

impl std::ops::Deref for Front {
    type Target = FrontShared;

    fn deref(&self) -> &FrontShared {
        &self.shared
    }
}

impl FrontShared {
    /// Requests a runner. `sent` is the number of runners that the request was
    /// sent to before, `avoid` the last of them.
    pub(super) fn submit(&self, call: &Call, sent: u32, avoid: Option<RunnerName>) -> Ticket {
        let mut question = call.question.clone();
        question.record.age = call.arrived.elapsed();
        question.prior_attempts = sent;
        question.avoid = avoid;
        Ticket::submit(self.control.clone(), question, &call.caller_id, self.metrics.clone())
    }

    /// Records a submitted request that no runner ran.
    pub(super) fn note_refused(&self, call: &Call, reason: NotRunReason, after: Duration) {
        let record = &call.question.record;
        self.metrics.not_run(reason);
        log_event!(
            Event::RequestRefused,
            id = call.caller_id.as_str(),
            reason = reason.as_str(),
            class:% = record.class,
            workspace:% = record.workspace,
            upstream:% = call.question.upstream,
            waited_ms = call.arrived.elapsed().as_millis() as u64,
            retry_ms = after.as_millis() as u64,
            revision = call.plan.revision
        );
    }

    fn new_request_id(&self) -> RequestId {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        self.ids.id(number)
    }
}

/// Refusal of a request before it is submitted.
struct Refused(NotRunReason, Option<Duration>);

impl From<NotRunReason> for Refused {
    fn from(reason: NotRunReason) -> Self {
        Self(reason, None)
    }
}

impl Front {
    pub(in crate::fleet) fn new(
        format: PlatformFormat,
        knowledge: Arc<Knowledge>,
        limits: FrontLimits,
        metrics: FleetMetrics,
        control: UnboundedSender<WorkerMessage>,
        host: HostId,
        ids: RequestIds,
    ) -> Self {
        let links = Links::default();
        let next_id = Cell::new(0);
        let shared =
            FrontShared { format, knowledge, links, limits, metrics, control, host, ids, next_id };
        Self { shared: Rc::new(shared) }
    }

    /// Serves one request.
    pub(super) async fn handle(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let id = req.headers().get(header(self.format.headers.request_id)).cloned();
        let mut res = match self.admit(req, self.knowledge.begin()).await {
            Ok(call) => exchange(&self, call).await,
            Err((Refused(reason, after), unread)) => {
                self.note_turned_down(id.as_ref(), reason);
                let mut res = not_run(None, reason, after);
                if unread {
                    close_after(&mut res);
                }
                res
            }
        };
        if self.knowledge.is_stopping() {
            close_after(&mut res);
        }
        res
    }

    /// Records a request that was refused before it was submitted.
    fn note_turned_down(&self, id: Option<&HeaderValue>, reason: NotRunReason) {
        let proof = self.knowledge.clock.now().since(self.knowledge.proven());
        self.metrics.not_run(reason);
        log_event!(
            Event::RequestRefused,
            id = id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
            reason = reason.as_str(),
            revision = self.knowledge.plan().map_or(0, |plan| plan.revision),
            proof_ms = proof.as_millis() as u64
        );
    }

    /// Checks and reads a request. The second value of an error is true if the
    /// body was not read to its end.
    async fn admit(
        &self,
        req: Request<Incoming>,
        counted: InProgress,
    ) -> Result<Call, (Refused, bool)> {
        let arrived = Instant::now();
        let (head, mut body) = req.into_parts();
        let unread = !body.is_end_stream();
        let early = |reason: Refused| (reason, unread);
        if self.knowledge.is_refusing() {
            // The time left until the stop limit may be too short for a
            // response.
            return Err(early(Refused(NotRunReason::Stopping, Some(STOPPING_RETRY))));
        }
        let plan = self
            .knowledge
            .plan()
            .ok_or_else(|| early(Refused(NotRunReason::NotReady, Some(NOT_READY_RETRY))))?;
        let names = self.format.headers;
        let text = |name| head.headers.get(header(name)).and_then(|value| value.to_str().ok());
        let Some(caller_id) = text(names.request_id).map(str::to_owned) else {
            return Err(early(NotRunReason::BadRequest.into()));
        };
        let route = find_route(&plan, &head.headers, &head.uri).cloned();
        let route = route.ok_or_else(|| early(NotRunReason::UnknownRoute.into()))?;
        let workspace = self.workspace(&plan, &route, text(names.api_key)).map_err(early)?;
        let waits = text(names.deadline_ms).and_then(|value| value.trim().parse().ok());
        let waits = waits.map_or(route.time_limit, Duration::from_millis);
        let until = arrived + waits.min(route.time_limit);
        let max = plan.limits.max_body_bytes;
        let read_until = until.min(arrived + plan.limits.read_timeout);
        let body = read_body(&mut body, max, read_until).await.map_err(early)?;
        let usage = text(names.token_usage).and_then(|value| (self.format.read_usage)(value));
        let id = self.new_request_id();
        let question = self.question(id, &plan, &route, workspace.as_ref(), usage, body.len());
        let mut question = question.ok_or_else(|| early(NotRunReason::NoRunner.into()))?;
        question.time_limit = until - arrived;
        let mut headers = end_to_end(&head.headers);
        for name in names.host_only {
            headers.remove(*name);
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let target = path.parse::<Uri>().map_err(|_| early(NotRunReason::BadRequest.into()))?;
        Ok(Call {
            names,
            caller_id,
            method: head.method,
            target,
            headers,
            body,
            workspace: workspace.map(|w| w.name),
            plan,
            route,
            question,
            known_hosts: self.knowledge.hosts(),
            arrived,
            until,
            _counted: counted,
        })
    }

    fn workspace(
        &self,
        plan: &FleetConfig,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Workspace>, Refused> {
        if !plan.keys_required || route.public {
            return Ok(None);
        }
        let age = self.knowledge.clock.now().since(self.knowledge.proven());
        if age > self.limits.proof_age {
            return Err(Refused(NotRunReason::StaleConfiguration, Some(NOT_READY_RETRY)));
        }
        let workspace = key.and_then(|key| plan.workspace_of(key)).cloned();
        workspace.map(Some).ok_or_else(|| NotRunReason::UnknownKey.into())
    }

    fn question(
        &self,
        id: RequestId,
        plan: &FleetConfig,
        route: &Route,
        workspace: Option<&Workspace>,
        usage: Option<(u32, u32)>,
        body_bytes: usize,
    ) -> Option<PlacementRequest> {
        let upstream = route.upstream(id.value() as u64)?.clone();
        let engine = plan.upstreams.get(&upstream).is_some_and(|u| u.engine);
        let quota = workspace.map(|w| w.quota).unwrap_or_default();
        let cost = match usage {
            _ if !quota.by_tokens => 1.0,
            Some((prompt, generated)) => f64::from(prompt) + f64::from(generated),
            None => quota.plain_cost,
        };
        let tier = workspace.map_or(route.tier, |w| w.tier_of(route.tier));
        let name = workspace.map(|w| w.name.clone());
        let record = RequestRecord {
            id,
            entry: self.host.clone(),
            workspace: name.or_else(|| WorkspaceName::new(PUBLIC_WORKSPACE).ok())?,
            class: route.class.clone(),
            tier,
            target: route.target,
            age: Duration::ZERO,
            prefill_tokens: if engine { usage.map_or(1, |(prompt, _)| prompt.max(1)) } else { 0 },
            max_decode_tokens: usage.map(|(_, generated)| generated),
            prefix: Vec::new(),
            body_bytes: u32::try_from(body_bytes).unwrap_or(u32::MAX),
        };
        let limit = route.time_limit;
        Some(PlacementRequest {
            record,
            upstream,
            cost,
            time_limit: limit,
            prior_attempts: 0,
            avoid: None,
        })
    }
}

fn find_route<'a>(plan: &'a FleetConfig, headers: &HeaderMap, target: &Uri) -> Option<&'a Route> {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok()).or_else(|| target.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    plan.route(&name, target.path())
}

async fn read_body(body: &mut Incoming, max: usize, until: Instant) -> Result<Bytes, Refused> {
    if body.size_hint().lower() > max as u64 {
        return Err(NotRunReason::TooLarge.into());
    }
    let mut read = BytesMut::new();
    loop {
        match timeout_at(until, body.frame()).await {
            Err(_) => return Err(NotRunReason::SlowBody.into()),
            Ok(None) => return Ok(read.freeze()),
            Ok(Some(Err(_))) => return Err(NotRunReason::BadRequest.into()),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
        if read.len() > max {
            return Err(NotRunReason::TooLarge.into());
        }
    }
}
