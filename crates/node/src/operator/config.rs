//! Export of the configuration and its history.

use actix_web::{HttpResponse, web::Data};
use comfreyway_proto::operator::{ConfigExport, HistoryReport};

use super::OperatorState;

pub(super) async fn export(state: Data<OperatorState>) -> HttpResponse {
    let accepted = state.config.accepted();
    let (version, document) = (accepted.version(), accepted.document().clone());
    HttpResponse::Ok().json(ConfigExport { version, document })
}

pub(super) async fn history(state: Data<OperatorState>) -> HttpResponse {
    let accepted = state.config.accepted();
    let changes = accepted.history().iter().rev().cloned().collect();
    HttpResponse::Ok().json(HistoryReport { version: accepted.version(), changes })
}
