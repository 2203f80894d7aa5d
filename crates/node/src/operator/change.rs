//! Configuration changes.

use actix_web::{
    HttpResponse,
    http::StatusCode,
    web::{Data, Json, Path},
};
use comfreyway_core::config::{Change, ChangeId};
use comfreyway_proto::operator::{ChangeOutcomeName, ChangeReport, ChangeRequest};

use super::{
    OperatorState,
    auth::problem,
    report::{change_state, dry_run_report, outcome_report},
};

/// Writes a configuration change, or only validates it for a dry run.
pub(super) async fn submit(
    state: Data<OperatorState>,
    Json(request): Json<ChangeRequest>,
) -> HttpResponse {
    let ChangeRequest { change, dry_run } = request;
    let report = if dry_run {
        dry_run_report(&state.config.accepted(), &change)
    } else {
        write(&state, change).await
    };
    HttpResponse::build(status_of(report.outcome)).json(report)
}

async fn write(state: &OperatorState, change: Change) -> ChangeReport {
    let id = change.id;
    outcome_report(id, &state.config.change(change).await)
}

fn status_of(outcome: ChangeOutcomeName) -> StatusCode {
    match outcome {
        ChangeOutcomeName::Accepted | ChangeOutcomeName::Checked => StatusCode::OK,
        ChangeOutcomeName::Conflict => StatusCode::CONFLICT,
        ChangeOutcomeName::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeOutcomeName::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Returns the state of an earlier change.
pub(super) async fn show(state: Data<OperatorState>, id: Path<String>) -> HttpResponse {
    match id.parse::<ChangeId>() {
        Ok(id) => {
            let refreshed = state.config.refresh().await;
            HttpResponse::Ok().json(change_state(&state.config.accepted(), id, refreshed))
        }
        Err(e) => problem(StatusCode::BAD_REQUEST, "invalid change id", &e.to_string()),
    }
}
