//! Sends a granted request.

use actix_web::{http::StatusCode, web::Data};
use comfreyway_core::outcome::{NotRunReason, UnknownReason};
use tokio::sync::oneshot;

use crate::upstream::{SendFailure, UpstreamAnswer};

use super::{
    exchange::{Destination, Exchange},
    resume::resume,
    ticket::Ticket,
    traffic::RETRY_AFTER,
    worker::Worker,
};

/// What became of a dispatch.
pub(super) enum Dispatched {
    /// The answer has begun.
    Started(Box<Exchange>),
    /// Nothing was sent; the request waits again.
    NotSent(Ticket),
    /// The upstream itself says that it ran nothing.
    TurnedAway(NotRunReason),
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// Sends a request in a task of its own, so that a caller that leaves does not
/// cut it off.
pub(super) async fn dispatch(worker: &Data<Worker>, ticket: Ticket, to: Destination) -> Dispatched {
    let (tx, rx) = oneshot::channel();
    let worker = worker.clone();
    actix_rt::spawn(run(worker, ticket, to, tx));
    rx.await.unwrap_or(Dispatched::Unknown(UnknownReason::UpstreamBroke))
}

async fn run(
    worker: Data<Worker>,
    mut ticket: Ticket,
    to: Destination,
    mut tx: oneshot::Sender<Dispatched>,
) {
    ticket.dispatched();
    let may_cancel = to.cancellable && to.from_engine;
    let sent = tokio::select! {
        sent = send(&to) => sent,
        () = tx.closed(), if may_cancel => {
            ticket.cancelled();
            return to.client.cancel(to.outbound.id, to.address).await;
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
        worker.abandon(*exchange);
    }
}

/// Sends the request. If the connection broke before the answer's head, asks an
/// engine that can resume for the whole answer.
async fn send(to: &Destination) -> Result<UpstreamAnswer, SendFailure> {
    let Destination { client, outbound, address, epoch, .. } = to;
    let sent = client.send(outbound, *address, *epoch).await;
    let broke = matches!(sent, Err(SendFailure::Unknown(UnknownReason::UpstreamBroke)));
    if !broke || !to.resumes {
        return sent;
    }
    match resume(client.clone(), outbound.clone(), *address, *epoch, 0).await {
        Some(answer) => Ok(answer),
        None => sent,
    }
}

fn started(mut ticket: Ticket, to: Destination, answer: UpstreamAnswer) -> Dispatched {
    let turned_away = match answer.head.status {
        StatusCode::SERVICE_UNAVAILABLE if answer.is_leaving() => Some(NotRunReason::NoRunner),
        StatusCode::PRECONDITION_FAILED if to.checks_fencing => Some(NotRunReason::NoOwner),
        _ => None,
    };
    match turned_away {
        Some(reason) => {
            ticket.not_run(reason, Some(RETRY_AFTER));
            Dispatched::TurnedAway(reason)
        }
        None => Dispatched::Started(Box::new(Exchange::new(ticket, to, answer))),
    }
}
