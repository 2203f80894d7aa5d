//! Authentication by the shared secret.

use actix_web::{
    Error, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::StatusCode,
    middleware::Next,
    web::Data,
};
use comfreyway_proto::{headers, operator::OperatorProblem};

use crate::events::{Event, log_event};

use super::OperatorState;

/// Rejects a call without the shared secret.
pub(super) async fn check_secret<B>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error>
where
    B: MessageBody + 'static,
{
    if has_secret(&req) {
        return Ok(next.call(req).await?.map_into_boxed_body());
    }
    let from = req.peer_addr().map_or_else(String::new, |address| address.to_string());
    log_event!(Event::SecretRejected, from = from);
    let detail = format!(
        "the header {} is missing or wrong; pass the secret file with --secret-file",
        headers::SECRET
    );
    let response = problem(StatusCode::UNAUTHORIZED, "secret required", &detail);
    Ok(req.into_response(response))
}

fn has_secret(req: &ServiceRequest) -> bool {
    let Some(state) = req.app_data::<Data<OperatorState>>() else { return false };
    let Some(secret) = &state.secret else { return true };
    req.headers().get(headers::SECRET).is_some_and(|given| secret.matches(given.as_bytes()))
}

/// Builds a problem response.
pub(super) fn problem(status: StatusCode, title: &str, detail: &str) -> HttpResponse {
    let problem = OperatorProblem {
        title: title.to_owned(),
        status: status.as_u16(),
        detail: detail.to_owned(),
    };
    HttpResponse::build(status).content_type("application/problem+json").json(problem)
}
