//! Sends a granted request to its runner.

use actix_web::{http::StatusCode, web::Data};
use comfreyway_core::outcome::{NotRunReason, RetryReason, UnknownReason};
use tokio::sync::oneshot;

use crate::upstream::{SendFailure, UpstreamResponse};

use super::{
    exchange::{Destination, Exchange},
    request_handle::RequestHandle,
    resume::resume,
    worker::Worker,
};

/// Result of a dispatch.
pub(super) enum DispatchResult {
    /// The head of the response has arrived.
    Started(Box<Exchange>),
    /// Nothing was sent; the request was requeued.
    NotSent(RequestHandle),
    /// The upstream declared that it did not run the request.
    TurnedAway(NotRunReason),
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// Sends a request in its own task, so that it continues if the caller
/// disconnects.
pub(super) async fn dispatch(
    worker: &Data<Worker>,
    handle: RequestHandle,
    to: Destination,
    mode: DispatchMode,
) -> DispatchResult {
    let (tx, rx) = oneshot::channel();
    let worker = worker.clone();
    actix_rt::spawn(run_dispatch(worker, handle, to, mode, tx));
    rx.await.unwrap_or(DispatchResult::Unknown(UnknownReason::UpstreamBroke))
}

/// How a request is dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DispatchMode {
    /// Send the request, which may run.
    Send,
    /// Only fetch the response: another host sent the request and went down.
    FetchResponse,
}

async fn run_dispatch(
    worker: Data<Worker>,
    mut handle: RequestHandle,
    to: Destination,
    mode: DispatchMode,
    mut tx: oneshot::Sender<DispatchResult>,
) {
    handle.dispatched();
    let may_cancel = to.cancellable && to.is_engine;
    let sent = tokio::select! {
        sent = transmit(&to, mode) => sent,
        () = tx.closed(), if may_cancel => {
            handle.cancelled();
            return to.client.cancel(to.outbound.id, to.grant.address).await;
        }
    };
    let result = match sent {
        Ok(response) => handle_response(handle, to, response),
        Err(SendFailure::NotSent(reason)) => {
            handle.not_sent(reason);
            DispatchResult::NotSent(handle)
        }
        Err(SendFailure::Unknown(reason)) => {
            handle.unknown(reason);
            DispatchResult::Unknown(reason)
        }
    };
    if let Err(DispatchResult::Started(exchange)) = tx.send(result) {
        worker.abandon(exchange);
    }
}

/// Sends the request. If the connection breaks before the response head,
/// requests the complete response from an engine that supports resuming.
async fn transmit(to: &Destination, mode: DispatchMode) -> Result<UpstreamResponse, SendFailure> {
    let Destination { client, outbound, grant, .. } = to;
    let sent = match mode {
        DispatchMode::Send => client.send(outbound, grant.address, grant.epoch).await,
        DispatchMode::FetchResponse => Err(SendFailure::Unknown(UnknownReason::HolderGone)),
    };
    let lost = matches!(
        sent,
        Err(SendFailure::Unknown(UnknownReason::UpstreamBroke | UnknownReason::HolderGone))
    );
    if !lost || !to.resumes {
        return sent;
    }
    match resume(client.clone(), outbound.clone(), grant.clone(), 0).await {
        Some(response) => Ok(response),
        None => sent,
    }
}

fn handle_response(
    mut handle: RequestHandle,
    to: Destination,
    response: UpstreamResponse,
) -> DispatchResult {
    let is_leaving = response.is_leaving();
    let turned_away = match response.head.status {
        StatusCode::SERVICE_UNAVAILABLE if is_leaving => {
            Some((NotRunReason::NoRunner, RetryReason::RunnerLeaving))
        }
        StatusCode::PRECONDITION_FAILED if to.checks_fencing => {
            Some((NotRunReason::NoOwner, RetryReason::StaleEpoch))
        }
        _ => None,
    };
    if let Some((reason, retry_reason)) = turned_away {
        handle.turned_away(reason, retry_reason);
        return DispatchResult::TurnedAway(reason);
    }
    if is_leaving {
        handle.runner_leaving();
    }
    DispatchResult::Started(Box::new(Exchange::new(handle, to, response)))
}
