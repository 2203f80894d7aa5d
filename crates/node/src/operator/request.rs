//! Reports on single requests.

use actix_web::{
    HttpResponse,
    http::StatusCode,
    web::{Data, Path},
};
use comfreyway_core::ids::RequestId;
use comfreyway_proto::operator::{RequestReport, RequestStep};

use crate::trace::{TraceEntry, TraceRecord, TraceStep};

use super::{OperatorState, auth::problem, explain::explain};

pub(super) async fn show(state: Data<OperatorState>, id: Path<String>) -> HttpResponse {
    let id = match id.parse::<RequestId>() {
        Ok(id) => id,
        Err(e) => return problem(StatusCode::BAD_REQUEST, "invalid request id", &e.to_string()),
    };
    match state.trace.get(id) {
        Some(record) => HttpResponse::Ok().json(report(&record)),
        None => {
            let detail = "this host has no record of the request, or has evicted it; query the \
                          host that the caller was connected to, with --server";
            problem(StatusCode::NOT_FOUND, "unknown request", detail)
        }
    }
}

fn report(record: &TraceRecord) -> RequestReport {
    RequestReport {
        id: record.id.to_string(),
        workspace: record.workspace.to_string(),
        class: record.class.to_string(),
        pool: record.pool.to_string(),
        steps: record.steps.iter().map(step_report).collect(),
        explanation: explain(record),
    }
}

fn step_report(entry: &TraceEntry) -> RequestStep {
    let (step, detail) = match &entry.step {
        TraceStep::Granted(runner) => ("granted", runner.to_string()),
        TraceStep::Dispatched => ("dispatched", String::new()),
        TraceStep::Requeued(reason) => ("waits-again", reason.to_string()),
        TraceStep::FirstByte => ("first-byte", String::new()),
        TraceStep::Repeated => ("repeated", String::new()),
        TraceStep::Answered => ("answered", String::new()),
        TraceStep::NotRun(reason) => ("not-run", reason.to_string()),
        TraceStep::Unknown(reason) => ("unknown", reason.to_string()),
    };
    let after_ms = entry.after.as_secs_f64() * 1_000.0;
    RequestStep { after_ms, step: step.to_owned(), detail }
}
