//! Answers that the scheduler itself gives.

use std::time::Duration;

use actix_web::{
    HttpResponse, HttpResponseBuilder,
    http::{StatusCode, header},
};
use comfreyway_core::{
    ids::RequestId,
    outcome::{NotRunReason, Outcome, UnknownReason},
};
use comfreyway_proto::{
    caller::{Problem, ProblemOutcome},
    headers,
};

use super::refusal::Refusal;

/// Media type of problem details (RFC 9457).
const PROBLEM_JSON: &str = "application/problem+json";

/// Start of the references to kinds of problems.
const PROBLEM_TYPE: &str = "urn:comfreyway:problem:";

/// The answer to a request that has no upstream's answer.
pub(super) fn problem(id: RequestId, refusal: &Refusal) -> HttpResponse {
    let outcome = refusal.outcome;
    let status = http_status(outcome);
    let body = Problem {
        type_: format!("{PROBLEM_TYPE}{}:{}", outcome.as_str(), outcome.reason()),
        title: title_of(outcome).to_owned(),
        status: status.as_u16(),
        detail: refusal.detail.clone(),
        outcome: match outcome {
            Outcome::NotRun(_) => ProblemOutcome::NotRun,
            _ => ProblemOutcome::Unknown,
        },
        reason: outcome.reason().to_owned(),
        request_id: id.to_string(),
        retry_after_ms: refusal.retry_after.map(whole_millis),
    };
    let mut response = HttpResponse::build(status);
    set_outcome(&mut response, id, outcome);
    if let Some(retry_after) = refusal.retry_after {
        response.insert_header((header::RETRY_AFTER, whole_seconds_up(retry_after).to_string()));
    }
    response.content_type(PROBLEM_JSON).json(body)
}

/// Sets the headers that every answer carries.
pub(super) fn set_outcome(response: &mut HttpResponseBuilder, id: RequestId, outcome: Outcome) {
    response.insert_header((headers::REQUEST_ID, id.to_string()));
    response.insert_header((headers::OUTCOME, outcome.as_str()));
    if !outcome.reason().is_empty() {
        response.insert_header((headers::REASON, outcome.reason()));
    }
}

/// Advice for a caller whose request's outcome is unknown.
pub(super) fn advice(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::BeyondMemory | UnknownReason::ResultExpired => {
            "the request may have run and its answer is not kept; check its effect before sending \
             it under a new identity"
        }
        _ => "the request may have run; send it again with the same Idempotency-Key to learn more",
    }
}

/// The status that tells of an outcome.
pub(crate) fn http_status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(reason) => not_run_status(reason),
        Outcome::Unknown(UnknownReason::UpstreamTimeout) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::BadRequest
        | NotRunReason::UnknownClass
        | NotRunReason::MissingIdentity
        | NotRunReason::CallerGone => StatusCode::BAD_REQUEST,
        NotRunReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunReason::UnknownKey => StatusCode::UNAUTHORIZED,
        NotRunReason::SlowBody => StatusCode::REQUEST_TIMEOUT,
        NotRunReason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        NotRunReason::UnknownWorkspace => StatusCode::FORBIDDEN,
        NotRunReason::UnknownModel | NotRunReason::UnknownRoute => StatusCode::NOT_FOUND,
        NotRunReason::IdentityReused => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::Shed | NotRunReason::QueueFull | NotRunReason::OverQuota => {
            StatusCode::TOO_MANY_REQUESTS
        }
        NotRunReason::TargetUnreachable
        | NotRunReason::NoRunner
        | NotRunReason::NoOwner
        | NotRunReason::ConnectFailed
        | NotRunReason::Stopping
        | NotRunReason::NotReady
        | NotRunReason::StaleConfiguration
        | NotRunReason::TimeLimit
        | NotRunReason::TurnedAway => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "The request was answered",
        Outcome::NotRun(_) => "The request was not run",
        Outcome::Unknown(_) => "The outcome of the request is unknown",
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn whole_seconds_up(duration: Duration) -> u64 {
    let partial = u64::from(duration.subsec_nanos() > 0);
    (duration.as_secs() + partial).max(1)
}
