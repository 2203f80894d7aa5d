//! From a verdict to an answer.

use std::time::Duration;

use comfreyway_core::{
    outcome::{NotRunReason, UnknownReason},
    request::{DispatchEnd, Usage},
};
use hyper::{Response, StatusCode, header::HeaderValue};
use tokio::time::{Instant, timeout_at};

use crate::fleet::{
    links::Links,
    ticket::{Ticket, Verdict},
};

use super::{
    answer::{AnswerBody, not_run, unknown, whole},
    attempt::{Answering, Attempt, attempt},
    call::{Call, end_to_end},
    handler::Front,
    relay::relay,
};

/// Time after which a request that ran out of time may come again.
const TIME_LIMIT_RETRY: Duration = Duration::from_secs(1);

/// Least time left with which a request is sent once more.
pub(super) const LEAST_TIME_LEFT: Duration = Duration::from_millis(100);

/// How far a request got before its answer's head.
pub(super) enum Reached {
    /// A runner answers.
    Answers(Box<Answering>),
    /// No runner ran it.
    NotRun(NotRunReason, Duration),
    /// A runner may have run it.
    Unknown(UnknownReason),
}

/// Waits for runners until one answers, or until the request is given up.
/// `after` is the event after which a stream goes on.
pub(super) async fn reach(
    links: &Links,
    call: &Call,
    ticket: &mut Ticket,
    after: Option<u64>,
) -> Reached {
    loop {
        let runner = match timeout_at(call.until, ticket.verdict()).await {
            Ok(Some(Verdict::Dispatch(runner))) => runner,
            Ok(Some(Verdict::Refuse(reason, after))) => return Reached::NotRun(reason, after),
            Ok(None) => return Reached::NotRun(NotRunReason::NoOwner, TIME_LIMIT_RETRY),
            Err(_) => return Reached::NotRun(NotRunReason::TimeLimit, TIME_LIMIT_RETRY),
        };
        let (attempt, runner_ended) = attempt(links, call, &runner, after).await;
        if runner_ended {
            ticket.runner_ended(&runner.key);
        }
        match attempt {
            Attempt::Answers(answering) => return Reached::Answers(answering),
            Attempt::NotRun(reason) => {
                log::info!(
                    "request {} not run by runner {}: {reason}; it waits again",
                    call.caller_id,
                    runner.key.name
                );
                ticket.not_run(reason);
            }
            Attempt::Unknown(reason) => return Reached::Unknown(reason),
        }
    }
}

/// Takes an admitted request to its answer.
pub(super) async fn exchange(front: &Front, call: Call) -> Response<AnswerBody> {
    let mut sent = 0;
    let mut ticket = front.submit(&call, sent, None);
    loop {
        let reason = match reach(&front.links, &call, &mut ticket, None).await {
            Reached::NotRun(reason, after) if sent == 0 => {
                log::info!(
                    "request {} refused: {reason}, after {} ms, retry after {} ms",
                    call.caller_id,
                    call.arrived.elapsed().as_millis(),
                    after.as_millis()
                );
                return not_run(Some(&call), reason, Some(after));
            }
            Reached::NotRun(..) => return unknown(&call, UnknownReason::UpstreamBroke),
            Reached::Unknown(reason) => reason,
            Reached::Answers(mut answering) => {
                if answering.status.is_success() && call.route.streaming {
                    return relay(front, call, ticket, answering, sent + 1);
                }
                match answering.read_whole(call.until).await {
                    Ok(body) => {
                        let status = answering.status;
                        let again = status.is_server_error() && may_repeat(&call, sent + 1);
                        if again {
                            // A failing answer tells nothing of the runner's speed.
                            ticket.ended(DispatchEnd::Cancelled);
                        } else {
                            ticket.ended(complete(&answering));
                            let mut res = Response::new(whole(body));
                            *res.status_mut() = own_status(status);
                            *res.headers_mut() = end_to_end(&answering.headers);
                            if own_status(status) != status {
                                res.headers_mut().remove(call.names.signature);
                            }
                            answering.keep_connection(&front.links);
                            return res;
                        }
                        answering.keep_connection(&front.links);
                        UnknownReason::UpstreamBroke
                    }
                    Err(reason) => reason,
                }
            }
        };
        sent += 1;
        ticket.ended(DispatchEnd::Failed);
        if !may_repeat(&call, sent) {
            log::info!("request {}: outcome unknown: {reason}", call.caller_id);
            return unknown(&call, reason);
        }
        log::info!("request {} is sent once more: {reason}", call.caller_id);
        ticket = front.submit(&call, sent, ticket.runner().cloned());
    }
}

/// True if the request may go to another runner after `sent` ones.
pub(super) fn may_repeat(call: &Call, sent: u32) -> bool {
    let left = call.until.saturating_duration_since(Instant::now());
    call.is_idempotent() && sent < call.route.attempts && left > LEAST_TIME_LEFT
}

fn complete(answering: &Answering) -> DispatchEnd {
    let total = answering.sent.elapsed();
    DispatchEnd::Complete(Usage { first_token: total, total, ..Usage::default() })
}

/// A runner that does not say that it ran nothing may have run the request, so
/// statuses that promise this are not passed on.
fn own_status(status: StatusCode) -> StatusCode {
    match status {
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => StatusCode::BAD_GATEWAY,
        other => other,
    }
}

/// Marks an answer as the last one of its connection.
pub(super) fn close_after(res: &mut Response<AnswerBody>) {
    res.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
}
