//! The way of one request through this host.

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
    control::{Decision, Submission},
    events::{Event, log_event},
    upstream::Outbound,
};

use super::{
    Phase,
    admit::{Admitted, admit, check_head},
    answer::{advice, problem},
    attach::attach,
    dispatch::{Dispatched, Manner, dispatch},
    exchange::{Destination, Granted},
    read_body::read_body,
    refusal::Refusal,
    respond::respond,
    ticket::{InProgress, Ticket},
    traffic::{RETRY_AFTER, TrafficState},
    worker::Worker,
};

/// Time for a refusal to be handed to the server.
const REFUSAL_SENDING: Duration = Duration::from_millis(100);

/// A request that was read whole and checked.
struct Received {
    admitted: Admitted,
    outbound: Outbound,
}

/// Serves one request of a caller.
pub(super) async fn handle(
    req: HttpRequest,
    mut payload: Payload,
    traffic: Data<TrafficState>,
    worker: Data<Worker>,
) -> HttpResponse {
    let id = traffic.new_request_id();
    let in_progress = InProgress::new(&traffic);
    match receive(id, &req, &mut payload, &traffic).await {
        Ok(received) => run(received, traffic, worker, in_progress).await,
        Err(refusal) => {
            if let Outcome::NotRun(reason) = refusal.outcome {
                log_event!(Event::RequestNotRun, id:% = id, reason = reason.as_str());
                traffic.metrics.not_run(reason);
            }
            actix_rt::spawn(hold(payload));
            problem(id, &refusal)
        }
    }
}

/// Keeps the rest of a body unread until its refusal has gone out. The server
/// then closes the connection; for a body that was dropped it would wait for
/// the rest without limit.
async fn hold(payload: Payload) {
    tokio::time::sleep(REFUSAL_SENDING).await;
    drop(payload);
}

async fn receive(
    id: RequestId,
    req: &HttpRequest,
    payload: &mut Payload,
    traffic: &TrafficState,
) -> Result<Received, Refusal> {
    if traffic.phase() != Phase::Serving {
        let refusal = Refusal::not_run(NotRunReason::Stopping, "this host is stopping");
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let document = traffic.config.borrow().clone();
    let head = check_head(traffic, &document, req)?;
    let body = read_body(req, payload, &traffic.limits).await?;
    let admitted = admit(traffic, &document, req, head, &body)?;
    let outbound = outbound(id, req, body, admitted.from_engine);
    Ok(Received { admitted, outbound })
}

fn outbound(id: RequestId, req: &HttpRequest, body: Bytes, to_engine: bool) -> Outbound {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let method = req.method().clone();
    Outbound::new(id, method, path.to_owned(), req.headers(), body, to_engine)
}

async fn run(
    received: Received,
    traffic: Data<TrafficState>,
    worker: Data<Worker>,
    in_progress: InProgress,
) -> HttpResponse {
    let Received { admitted, outbound } = received;
    let id = outbound.id;
    let (ticket, submission) = open_ticket(&admitted, &outbound, &traffic, in_progress);
    traffic.metrics.submitted();
    if traffic.control.submit(submission).is_err() {
        log_event!(Event::ControlThreadEnded, id:% = id);
    }
    let deadline = Instant::now() + traffic.limits.grant_timeout;
    decide(ticket, &admitted, &outbound, &worker, deadline).await
}

fn open_ticket(
    admitted: &Admitted,
    outbound: &Outbound,
    traffic: &Data<TrafficState>,
    in_progress: InProgress,
) -> (Ticket, Submission) {
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
    let ticket = Ticket::new(id, admitted, decisions, recording, traffic.clone(), in_progress);
    (ticket, submission)
}

/// Waits for decisions and carries them out.
async fn decide(
    mut ticket: Ticket,
    admitted: &Admitted,
    outbound: &Outbound,
    worker: &Data<Worker>,
    deadline: Instant,
) -> HttpResponse {
    let id = outbound.id;
    loop {
        match ticket.next_decision(deadline).await {
            Some(Decision::Dispatch { runner, address, epoch }) => {
                let granted = Granted { runner, address, epoch };
                let to = destination(admitted, outbound.clone(), worker, granted);
                match dispatch(worker, ticket, to, Manner::Send).await {
                    Dispatched::NotSent(waiting) => ticket = waiting,
                    other => return finish(id, other, worker).await,
                }
            }
            Some(Decision::Resume { id: first, runner, address, epoch }) => {
                let outbound = Outbound { id: first, ..outbound.clone() };
                let granted = Granted { runner, address, epoch };
                let to = destination(admitted, outbound, worker, granted);
                let dispatched = dispatch(worker, ticket, to, Manner::AskAgain).await;
                return finish(first, dispatched, worker).await;
            }
            Some(Decision::NotRun { reason, retry_after }) => {
                ticket.not_run(reason, Some(retry_after));
                let refusal = Refusal::not_run(reason, "ask again after the given time");
                return problem(id, &refusal.with_retry_after(retry_after));
            }
            Some(Decision::Unknown { reason }) => {
                ticket.unknown(reason);
                return unknown(id, reason);
            }
            Some(Decision::Attach { id: first, holder }) => {
                ticket.attached();
                return attach(ticket.traffic(), first, holder).await;
            }
            None => {
                ticket.withdraw(NotRunReason::NoOwner, Some(RETRY_AFTER));
                let refusal = Refusal::not_run(NotRunReason::NoOwner, "no decision came in time");
                return problem(id, &refusal.with_retry_after(RETRY_AFTER));
            }
        }
    }
}

fn destination(
    admitted: &Admitted,
    outbound: Outbound,
    worker: &Data<Worker>,
    granted: Granted,
) -> Destination {
    Destination {
        client: worker.client.clone(),
        outbound,
        granted,
        from_engine: admitted.from_engine,
        checks_fencing: admitted.checks_fencing,
        resumes: admitted.resumes,
        cancellable: admitted.class.cancellable,
    }
}

async fn finish(id: RequestId, dispatched: Dispatched, worker: &Data<Worker>) -> HttpResponse {
    match dispatched {
        Dispatched::Started(exchange) => respond(exchange, worker).await,
        Dispatched::TurnedAway(reason) => {
            let refusal = Refusal::not_run(reason, "the upstream ran nothing");
            problem(id, &refusal.with_retry_after(RETRY_AFTER))
        }
        Dispatched::Unknown(reason) => unknown(id, reason),
        Dispatched::NotSent(_) => unknown(id, UnknownReason::HolderGone),
    }
}

/// The answer to a request of unknown outcome.
pub(super) fn unknown(id: RequestId, reason: UnknownReason) -> HttpResponse {
    let outcome = Outcome::Unknown(reason);
    problem(id, &Refusal { outcome, detail: advice(reason).to_owned(), retry_after: None })
}
