//! Sends a granted request to its runner.

use actix_web::{http::StatusCode, web::Data};
use comfreyway_core::outcome::{NotRunReason, RetryReason, UnknownReason};
use tokio::sync::oneshot;

use crate::upstream::{SendFailure, UpstreamAnswer};

use super::{
    exchange::{Destination, Exchange},
    resume::resume,
    ticket::Ticket,
    worker::Worker,
};

/// Result of a dispatch.
pub(super) enum Dispatched {
    /// The head of the response has arrived.
    Started(Box<Exchange>),
    /// Nothing was sent; the request was requeued.
    NotSent(Ticket),
    /// The upstream declared that it did not run the request.
    TurnedAway(NotRunReason),
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// Sends a request in its own task, so that it continues if the caller
/// disconnects.
pub(super) async fn dispatch(
    worker: &Data<Worker>,
    ticket: Ticket,
    to: Destination,
    manner: Manner,
) -> Dispatched {
    let (tx, rx) = oneshot::channel();
    let worker = worker.clone();
    actix_rt::spawn(run(worker, ticket, to, manner, tx));
    rx.await.unwrap_or(Dispatched::Unknown(UnknownReason::UpstreamBroke))
}

/// How a request is dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Manner {
    /// Send the request, which may run.
    Send,
    /// Only fetch the response: another host sent the request and went down.
    AskAgain,
}

async fn run(
    worker: Data<Worker>,
    mut ticket: Ticket,
    to: Destination,
    manner: Manner,
    mut tx: oneshot::Sender<Dispatched>,
) {
    ticket.dispatched();
    let may_cancel = to.cancellable && to.from_engine;
    let sent = tokio::select! {
        sent = transmit(&to, manner) => sent,
        () = tx.closed(), if may_cancel => {
            ticket.cancelled();
            return to.client.cancel(to.outbound.id, to.granted.address).await;
        }
    };
    let result = match sent {
        Ok(answer) => started(ticket, to, answer),
        Err(SendFailure::NotSent(reason)) => {
            ticket.not_sent(reason);
            Dispatched::NotSent(ticket)
        }
        Err(SendFailure::Unknown(reason)) => {
            ticket.unknown(reason);
            Dispatched::Unknown(reason)
        }
    };
    if let Err(Dispatched::Started(exchange)) = tx.send(result) {
        worker.abandon(exchange);
    }
}

/// Sends the request. If the connection breaks before the response head,
/// requests the complete response from an engine that supports resuming.
async fn transmit(to: &Destination, manner: Manner) -> Result<UpstreamAnswer, SendFailure> {
    let Destination { client, outbound, granted, .. } = to;
    let sent = match manner {
        Manner::Send => client.send(outbound, granted.address, granted.epoch).await,
        Manner::AskAgain => Err(SendFailure::Unknown(UnknownReason::HolderGone)),
    };
    let lost = matches!(
        sent,
        Err(SendFailure::Unknown(UnknownReason::UpstreamBroke | UnknownReason::HolderGone))
    );
    if !lost || !to.resumes {
        return sent;
    }
    match resume(client.clone(), outbound.clone(), granted.clone(), 0).await {
        Some(answer) => Ok(answer),
        None => sent,
    }
}

fn started(mut ticket: Ticket, to: Destination, answer: UpstreamAnswer) -> Dispatched {
    let is_leaving = answer.is_leaving();
    let turned_away = match answer.head.status {
        StatusCode::SERVICE_UNAVAILABLE if is_leaving => {
            Some((NotRunReason::NoRunner, RetryReason::RunnerLeaving))
        }
        StatusCode::PRECONDITION_FAILED if to.checks_fencing => {
            Some((NotRunReason::NoOwner, RetryReason::StaleEpoch))
        }
        _ => None,
    };
    if let Some((reason, why)) = turned_away {
        ticket.turned_away(reason, why);
        return Dispatched::TurnedAway(reason);
    }
    if is_leaving {
        ticket.runner_leaving();
    }
    Dispatched::Started(Box::new(Exchange::new(ticket, to, answer)))
}
