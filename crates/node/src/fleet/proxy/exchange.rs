//! Sends an admitted request to runners until there is a response.

use std::time::Duration;

use comfreyway_core::{
    fleet::StopPhase,
    outcome::{NotRunReason, UnknownReason},
    request::{DispatchEnd, Usage},
};
use comfreyway_platform::Revision;
use hyper::{Response, StatusCode, header::HeaderValue};
use tokio::time::{Instant, timeout, timeout_at};

use crate::events::{Event, Optional, log_event};
use crate::fleet::{
    request_handle::{RequestDecision, RequestHandle},
    response_memory::{HeldBytes, MAX_RESPONSE_BYTES},
};
use crate::metrics::{RequestLabels, RequestTimes};

use super::{
    admitted::{AdmittedRequest, end_to_end},
    attempt::{Attempt, RunnerResponse, attempt},
    framing::Framing,
    handler::{Proxy, ProxyState, STOPPING_RETRY_AFTER},
    relay::relay,
    response::{ResponseBody, buffered, not_run, unknown},
};

/// Time after which the caller may try again if its request reached its time
/// limit, or got no decision because the control thread has ended.
const TIME_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum time left for a request to be sent again.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(100);

/// Time after which a request that waits for a runner is logged. If its host goes
/// down, this line is all that is known of it.
const LONG_WAIT: Duration = Duration::from_millis(300);

/// Result of dispatching a request, up to the response head.
pub(super) enum DispatchResult {
    /// A runner responds.
    Response(Box<RunnerResponse>),
    /// No runner ran the request.
    NotRun(NotRunReason, Duration),
    /// A runner may have run the request.
    Unknown(UnknownReason),
}

/// Dispatches a request until a runner responds or the request fails. `after`
/// is the event after which a stream resumes. A host that stops gives up requests that wait,
/// which another host can still serve, then those that run.
pub(super) async fn dispatch(
    proxy: &ProxyState,
    request: &AdmittedRequest,
    handle: &mut RequestHandle,
    after: Option<u64>,
) -> DispatchResult {
    loop {
        let decision = tokio::select! {
            biased;
            () = proxy.host_state.stop_phase_reached(StopPhase::Dispatched) => {
                return DispatchResult::NotRun(NotRunReason::Stopping, STOPPING_RETRY_AFTER);
            }
            decision = timeout_at(request.deadline, next_decision(request, handle)) => decision,
        };
        let runner = match decision {
            Ok(Some(RequestDecision::Dispatch(runner))) => runner,
            Ok(Some(RequestDecision::Refuse(reason, retry_after))) => {
                return DispatchResult::NotRun(reason, retry_after);
            }
            Ok(None) => {
                return DispatchResult::NotRun(NotRunReason::NoOwner, TIME_LIMIT_RETRY_AFTER);
            }
            Err(_) => {
                return DispatchResult::NotRun(NotRunReason::TimeLimit, TIME_LIMIT_RETRY_AFTER);
            }
        };
        let (attempt, statements) = tokio::select! {
            attempted = attempt(proxy, request, &runner, after) => attempted,
            () = proxy.host_state.stop_phase_reached(StopPhase::Aborting) => {
                return DispatchResult::Unknown(UnknownReason::StopLimit);
            }
        };
        handle.set_forwarded(statements.is_forwarded);
        if let Some(notice) = statements.notice {
            handle.runner_notice(notice);
        }
        if let Some((runner, load)) = statements.load {
            handle.runner_load(runner, load);
        }
        let is_limited = proxy.host_state.has_limited_runners();
        if let Some(limit) = statements.limit.filter(|limit| limit.per_s.is_some() || is_limited) {
            handle.runner_limit(limit);
        }
        match attempt {
            Attempt::Response(response) => return DispatchResult::Response(response),
            Attempt::NotRun(reason) => {
                log_event!(
                    Event::RunnerTurnedAway,
                    id = request.caller_id.as_str(),
                    runner:% = runner.key.name,
                    reason = reason.as_str()
                );
                proxy.metrics.retried(reason);
                handle.requeue(reason);
            }
            Attempt::Unknown(reason) => return DispatchResult::Unknown(reason),
        }
    }
}

/// Waits for the next decision on a request, and logs a long wait.
async fn next_decision(
    request: &AdmittedRequest,
    handle: &mut RequestHandle,
) -> Option<RequestDecision> {
    if let Ok(decision) = timeout(LONG_WAIT, handle.next_decision()).await {
        return decision;
    }
    let record = &request.placement.record;
    log_event!(
        Event::RequestWaiting,
        id = request.caller_id.as_str(),
        class:% = record.class,
        workspace:% = record.workspace,
        upstream:% = request.placement.upstream,
        waited_ms = request.arrived.elapsed().as_millis() as u64
    );
    handle.next_decision().await
}

/// Sends an admitted request to runners and returns the response.
pub(super) async fn exchange(proxy: &Proxy, request: AdmittedRequest) -> Response<ResponseBody> {
    let mut sent = 0;
    let mut handle = proxy.submit(&request, sent, None);
    loop {
        let reason = match dispatch(proxy, &request, &mut handle, None).await {
            DispatchResult::NotRun(reason, retry_after) if sent == 0 => {
                proxy.record_refusal(&request, reason, retry_after);
                handle.withdraw();
                return not_run(Some(&request), reason, Some(retry_after));
            }
            DispatchResult::NotRun(..) => {
                handle.withdraw();
                return unknown_outcome(
                    proxy,
                    &request,
                    &handle,
                    sent,
                    UnknownReason::UpstreamBroke,
                );
            }
            DispatchResult::Unknown(reason) => reason,
            DispatchResult::Response(mut response) => {
                let is_success = response.status.is_success();
                if is_success && request.route.streaming && response.is_event_stream() {
                    return relay(proxy, request, handle, response, sent + 1);
                }
                let mut held = HeldBytes::new(request.caller.clone(), MAX_RESPONSE_BYTES);
                let read = tokio::select! {
                    read = response.read_whole(&request.caller_id, request.deadline, &mut held) => read,
                    () = proxy.host_state.stop_phase_reached(StopPhase::Aborting) => {
                        Err(UnknownReason::StopLimit)
                    }
                };
                match read {
                    Ok(body) => {
                        let status = response.status;
                        let retry =
                            status.is_server_error() && may_retry(proxy, &request, sent + 1);
                        handle.ended(completed(&response));
                        if !retry {
                            record_answered(
                                proxy,
                                &request,
                                &response,
                                sent + 1,
                                StreamEvents::default(),
                            );
                            let mut res = Response::new(buffered(body));
                            *res.status_mut() = forwarded_status(status);
                            *res.headers_mut() = end_to_end(&response.headers);
                            if forwarded_status(status) != status {
                                res.headers_mut().remove(request.header_names.signature);
                            }
                            response.keep_connection(&proxy.connections);
                            held.keep();
                            return res;
                        }
                        UnknownReason::UpstreamBroke
                    }
                    Err(reason) => reason,
                }
            }
        };
        sent += 1;
        handle.ended(match reason {
            UnknownReason::StopLimit => DispatchEnd::Cancelled,
            _ => DispatchEnd::Failed,
        });
        if !may_retry(proxy, &request, sent) {
            return unknown_outcome(proxy, &request, &handle, sent, reason);
        }
        log_event!(
            Event::RequestRetried,
            id = request.caller_id.as_str(),
            sent = sent,
            reason = reason.as_str()
        );
        handle = proxy.submit(&request, sent, handle.runner().cloned());
    }
}

/// Records that the request may have run, and returns the response that says so.
fn unknown_outcome(
    proxy: &ProxyState,
    request: &AdmittedRequest,
    handle: &RequestHandle,
    sent: u32,
    reason: UnknownReason,
) -> Response<ResponseBody> {
    proxy.metrics.unknown(reason);
    log_event!(
        Event::RequestOutcomeUnknown,
        id = request.caller_id.as_str(),
        reason = reason.as_str(),
        runner:% = Optional(handle.runner()),
        sent = sent,
        total_ms = request.arrived.elapsed().as_millis() as u64
    );
    unknown(request, reason)
}

/// The events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamEvents {
    /// Time of the first one from the last runner.
    pub(super) first: Option<Instant>,
    /// Number of all.
    pub(super) count: u32,
}

/// Records a complete response from a runner.
pub(super) fn record_answered(
    proxy: &ProxyState,
    request: &AdmittedRequest,
    response: &RunnerResponse,
    sent: u32,
    events: StreamEvents,
) {
    let now = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(request.arrived);
    let times = RequestTimes {
        waited: since(response.sent_at),
        first_byte: since(events.first.unwrap_or(now)),
        total: since(now),
    };
    let labels = RequestLabels {
        class: &request.route.class,
        tier: request.placement.record.tier,
        upstream: &request.placement.upstream,
    };
    proxy.metrics.answered(labels, times);
    log_event!(
        Event::RequestAnswered,
        id = request.caller_id.as_str(),
        class:% = request.route.class,
        workspace:% = request.placement.record.workspace,
        upstream:% = request.placement.upstream,
        runner:% = response.runner.name,
        sent = sent,
        waited_ms = times.waited.as_millis() as u64,
        first_ms = times.first_byte.as_millis() as u64,
        total_ms = times.total.as_millis() as u64,
        status = response.status.as_u16(),
        framing = response.framing.as_str(),
        events = events.count,
        revision:% = Revision(request.config.revision)
    );
}

/// Returns true if the request may go to another runner after `sent` ones.
pub(super) fn may_retry(proxy: &ProxyState, request: &AdmittedRequest, sent: u32) -> bool {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let dispatches = proxy.host_state.stop_phase() < StopPhase::Dispatched;
    let is_allowed = request.is_idempotent() && sent < request.route.max_attempts;
    is_allowed && left > MIN_TIME_LEFT && dispatches
}

fn completed(response: &RunnerResponse) -> DispatchEnd {
    let total = response.sent_at.elapsed();
    let until_close = response.framing == Framing::Connection;
    let failed = response.status.is_server_error();
    DispatchEnd::Complete(Usage {
        first_token: total,
        total,
        until_close,
        failed,
        ..Usage::default()
    })
}

/// Returns the status for the caller. A runner that does not state that it ran
/// nothing may have run the request, so statuses that promise this are not
/// forwarded.
fn forwarded_status(status: StatusCode) -> StatusCode {
    match status {
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => StatusCode::BAD_GATEWAY,
        other => other,
    }
}

/// Makes a response the last one on its connection.
pub(super) fn close_after(res: &mut Response<ResponseBody>) {
    res.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
}
