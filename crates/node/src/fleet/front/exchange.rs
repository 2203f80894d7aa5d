//! From a verdict to an answer.

use std::time::Duration;

use comfreyway_core::{
    outcome::{NotRunReason, UnknownReason},
    request::{DispatchEnd, Usage},
};
use hyper::{Response, StatusCode, header::HeaderValue};
use tokio::time::{Instant, timeout_at};

use crate::events::{Event, log_event};
use crate::fleet::ticket::{Ticket, Verdict};
use crate::metrics::{RequestLabels, RequestTimes};

use super::{
    answer::{AnswerBody, not_run, unknown, whole},
    attempt::{Answering, Attempt, attempt},
    call::{Call, end_to_end},
    handler::{Front, FrontShared},
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
    front: &FrontShared,
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
        let (attempt, runner_ended) = attempt(&front.links, call, &runner, after).await;
        if runner_ended {
            ticket.runner_ended(&runner.key);
        }
        match attempt {
            Attempt::Answers(answering) => return Reached::Answers(answering),
            Attempt::NotRun(reason) => {
                log_event!(
                    Event::RunnerTurnedAway,
                    id = call.caller_id.as_str(),
                    runner:% = runner.key.name,
                    reason = reason.as_str()
                );
                front.metrics.retried(reason);
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
        let reason = match reach(front, &call, &mut ticket, None).await {
            Reached::NotRun(reason, after) if sent == 0 => {
                front.note_refused(&call, reason, after);
                ticket.give_up();
                return not_run(Some(&call), reason, Some(after));
            }
            Reached::NotRun(..) => {
                ticket.give_up();
                return lost(front, &call, &ticket, sent, UnknownReason::UpstreamBroke);
            }
            Reached::Unknown(reason) => reason,
            Reached::Answers(mut answering) => {
                if answering.status.is_success() && call.route.streaming {
                    return relay(front, call, ticket, answering, sent + 1);
                }
                match answering.read_whole(&call.caller_id, call.until).await {
                    Ok(body) => {
                        let status = answering.status;
                        let again = status.is_server_error() && may_repeat(&call, sent + 1);
                        if again {
                            // A failing answer tells nothing of the runner's speed.
                            ticket.ended(DispatchEnd::Cancelled);
                        } else {
                            ticket.ended(complete(&answering));
                            note_answered(front, &call, &answering, sent + 1, None);
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
            return lost(front, &call, &ticket, sent, reason);
        }
        log_event!(
            Event::RequestRetried,
            id = call.caller_id.as_str(),
            sent = sent,
            reason = reason.as_str()
        );
        ticket = front.submit(&call, sent, ticket.runner().cloned());
    }
}

/// Tells the caller that the request may have run.
fn lost(
    front: &FrontShared,
    call: &Call,
    ticket: &Ticket,
    sent: u32,
    reason: UnknownReason,
) -> Response<AnswerBody> {
    front.metrics.unknown(reason);
    log_event!(
        Event::RequestOutcomeUnknown,
        id = call.caller_id.as_str(),
        reason = reason.as_str(),
        runner:? = ticket.runner().map(ToString::to_string),
        sent = sent,
        total_ms = call.arrived.elapsed().as_millis() as u64
    );
    unknown(call, reason)
}

/// Notes an answer that went to its caller whole. `first` is the time of its
/// first event, if it is a stream.
pub(super) fn note_answered(
    front: &FrontShared,
    call: &Call,
    answering: &Answering,
    sent: u32,
    first: Option<Instant>,
) {
    let now = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(call.arrived);
    let times = RequestTimes {
        waited: since(answering.sent),
        first_byte: since(first.unwrap_or(now)),
        total: since(now),
    };
    let labels = RequestLabels {
        class: &call.route.class,
        tier: call.question.record.tier,
        upstream: &call.question.upstream,
    };
    front.metrics.answered(labels, times);
    log_event!(
        Event::RequestAnswered,
        id = call.caller_id.as_str(),
        class:% = call.route.class,
        workspace:% = call.question.record.workspace,
        upstream:% = call.question.upstream,
        runner:% = answering.runner.name,
        sent = sent,
        waited_ms = times.waited.as_millis() as u64,
        first_ms = times.first_byte.as_millis() as u64,
        total_ms = times.total.as_millis() as u64,
        status = answering.status.as_u16(),
        revision = call.plan.revision
    );
}

/// True if the request may go to another runner after `sent` ones.
pub(super) fn may_repeat(call: &Call, sent: u32) -> bool {
    let left = call.until.saturating_duration_since(Instant::now());
    call.is_idempotent() && sent < call.route.max_attempts && left > LEAST_TIME_LEFT
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
