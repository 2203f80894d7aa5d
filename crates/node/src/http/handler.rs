//! Handles one request of a caller.

use std::time::{Duration, Instant};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{Bytes, Data, Payload},
};
use comfreyway_core::{
    ids::RequestId,
    outcome::{NotRunReason, Outcome, UnknownReason},
};
use tokio::sync::mpsc::unbounded_channel;

use crate::{
    caller_memory::{Caller, workspace_key},
    control::{Decision, Submission},
    events::{Event, log_event},
    upstream::OutboundRequest,
};

use super::{
    Phase,
    admit::{Admitted, admit, check_head},
    attach::attach,
    dispatch::{DispatchMode, DispatchResult, dispatch},
    exchange::{Destination, Grant},
    problem::{advice, problem_response},
    read_body::read_body,
    refusal::Refusal,
    request_handle::{InProgress, RequestHandle},
    respond::respond,
    traffic::{RETRY_AFTER, TrafficState},
    worker::Worker,
};

/// Time for the server to write a refusal.
const REFUSAL_SEND_TIME: Duration = Duration::from_millis(100);

/// A validated request whose body has been read.
struct ValidatedRequest {
    admitted: Admitted,
    outbound: OutboundRequest,
}

/// Handles one request of a caller.
pub(super) async fn handle(
    req: HttpRequest,
    mut payload: Payload,
    traffic: Data<TrafficState>,
    worker: Data<Worker>,
) -> HttpResponse {
    let id = traffic.new_request_id();
    let in_progress = InProgress::new(&traffic);
    // What is held for the caller is released when its request has ended.
    let caller = traffic.caller_memory.request();
    match read_request(id, &req, &mut payload, &traffic, &caller).await {
        Ok(received) => run(received, traffic, worker, in_progress).await,
        Err(refusal) => {
            if let Outcome::NotRun(reason) = refusal.outcome {
                log_event!(Event::RequestNotRun, id:% = id, reason = reason.as_str());
                traffic.metrics.not_run(reason);
            }
            actix_rt::spawn(drop_after_refusal(payload));
            problem_response(id, &refusal)
        }
    }
}

/// Keeps the rest of a body unread until its refusal has been written. The
/// server then closes the connection; for a dropped body it would wait for the
/// rest without a time limit.
async fn drop_after_refusal(payload: Payload) {
    tokio::time::sleep(REFUSAL_SEND_TIME).await;
    drop(payload);
}

async fn read_request(
    id: RequestId,
    req: &HttpRequest,
    payload: &mut Payload,
    traffic: &TrafficState,
    caller: &Caller,
) -> Result<ValidatedRequest, Refusal> {
    if traffic.phase() != Phase::Serving {
        let refusal = Refusal::not_run(NotRunReason::Stopping, "this host is stopping");
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let document = traffic.config.borrow().clone();
    let head = check_head(traffic, &document, req)?;
    caller.begin_body(workspace_key(&head.workspace));
    let body = read_body(req, payload, &traffic.limits, caller).await?;
    let admitted = admit(traffic, &document, req, head, &body)?;
    let outbound = outbound_request(id, req, body, admitted.is_engine);
    Ok(ValidatedRequest { admitted, outbound })
}

fn outbound_request(
    id: RequestId,
    req: &HttpRequest,
    body: Bytes,
    to_engine: bool,
) -> OutboundRequest {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let method = req.method().clone();
    OutboundRequest::new(id, method, path.to_owned(), req.headers(), body, to_engine)
}

async fn run(
    received: ValidatedRequest,
    traffic: Data<TrafficState>,
    worker: Data<Worker>,
    in_progress: InProgress,
) -> HttpResponse {
    let ValidatedRequest { admitted, outbound } = received;
    let id = outbound.id;
    let (handle, submission) = open_request(&admitted, &outbound, &traffic, in_progress);
    traffic.metrics.submitted();
    if traffic.control.submit(submission).is_err() {
        log_event!(Event::ControlThreadEnded, id:% = id);
    }
    let deadline = Instant::now() + traffic.limits.grant_timeout;
    execute_decisions(handle, &admitted, &outbound, &worker, deadline).await
}

fn open_request(
    admitted: &Admitted,
    outbound: &OutboundRequest,
    traffic: &Data<TrafficState>,
    in_progress: InProgress,
) -> (RequestHandle, Submission) {
    let id = outbound.id;
    let (tx, decisions) = unbounded_channel();
    let recording = admitted.key.as_ref().map(|_| traffic.results.create(id));
    let submission = Submission {
        id,
        pool: admitted.pool.clone(),
        workspace: admitted.workspace.clone(),
        class: admitted.class_name.clone(),
        tier: admitted.class.tier,
        target: admitted.class.target,
        idempotent: admitted.class.idempotent,
        key: admitted.key.clone(),
        prefill_tokens: admitted.prompt.prefill_tokens,
        max_decode_tokens: admitted.prompt.max_decode_tokens,
        prefix: admitted.prompt.prefix.clone(),
        body_bytes: u32::try_from(outbound.body.len()).unwrap_or(u32::MAX),
        decisions: tx,
    };
    let handle =
        RequestHandle::new(id, admitted, decisions, recording, traffic.clone(), in_progress);
    (handle, submission)
}

/// Waits for scheduler decisions and executes them.
async fn execute_decisions(
    mut handle: RequestHandle,
    admitted: &Admitted,
    outbound: &OutboundRequest,
    worker: &Data<Worker>,
    deadline: Instant,
) -> HttpResponse {
    let id = outbound.id;
    loop {
        match handle.next_decision(deadline).await {
            Some(Decision::Dispatch { runner, address, epoch }) => {
                let grant = Grant { runner, address, epoch };
                let to = destination(admitted, outbound.clone(), worker, grant);
                match dispatch(worker, handle, to, DispatchMode::Send).await {
                    DispatchResult::NotSent(waiting) => handle = waiting,
                    other => return finish(id, other, worker).await,
                }
            }
            Some(Decision::Resume { id: first, runner, address, epoch }) => {
                let outbound = OutboundRequest { id: first, ..outbound.clone() };
                let grant = Grant { runner, address, epoch };
                let to = destination(admitted, outbound, worker, grant);
                let dispatched = dispatch(worker, handle, to, DispatchMode::FetchResponse).await;
                return finish(first, dispatched, worker).await;
            }
            Some(Decision::NotRun { reason, retry_after }) => {
                handle.not_run(reason, Some(retry_after));
                let refusal = Refusal::not_run(reason, "try again after the given time");
                return problem_response(id, &refusal.with_retry_after(retry_after));
            }
            Some(Decision::Unknown { reason }) => {
                handle.unknown(reason);
                return unknown_response(id, reason);
            }
            Some(Decision::Attach { id: first, holder }) => {
                handle.attached();
                return attach(handle.traffic(), first, holder).await;
            }
            None => {
                handle.withdraw(NotRunReason::NoOwner, Some(RETRY_AFTER));
                let refusal =
                    Refusal::not_run(NotRunReason::NoOwner, "no scheduling decision in time");
                return problem_response(id, &refusal.with_retry_after(RETRY_AFTER));
            }
        }
    }
}

fn destination(
    admitted: &Admitted,
    outbound: OutboundRequest,
    worker: &Data<Worker>,
    grant: Grant,
) -> Destination {
    Destination {
        client: worker.client.clone(),
        outbound,
        grant,
        is_engine: admitted.is_engine,
        checks_fencing: admitted.checks_fencing,
        resumes: admitted.resumes,
        cancellable: admitted.class.cancellable,
    }
}

async fn finish(id: RequestId, dispatched: DispatchResult, worker: &Data<Worker>) -> HttpResponse {
    match dispatched {
        DispatchResult::Started(exchange) => respond(exchange, worker).await,
        DispatchResult::TurnedAway(reason) => {
            let refusal = Refusal::not_run(reason, "the upstream did not run the request");
            problem_response(id, &refusal.with_retry_after(RETRY_AFTER))
        }
        DispatchResult::Unknown(reason) => unknown_response(id, reason),
        DispatchResult::NotSent(_) => unknown_response(id, UnknownReason::HolderGone),
    }
}

/// Builds the response to a request with an unknown outcome.
pub(super) fn unknown_response(id: RequestId, reason: UnknownReason) -> HttpResponse {
    let outcome = Outcome::Unknown(reason);
    problem_response(id, &Refusal { outcome, detail: advice(reason).to_owned(), retry_after: None })
}
