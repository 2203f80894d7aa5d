//! HTTP API for operators: JSON under `/v1/`, and the status page.
//!
//! Every call under `/v1/` requires the shared secret. The page itself contains
//! no data; it reads the same JSON. The types are those of
//! [`comfreyway_proto::operator`].

mod auth;
mod change;
mod config;
mod explain;
mod page;
mod report;
mod request;
mod state;
mod status;

use actix_web::{
    middleware::from_fn,
    web::{self, Data, ServiceConfig},
};

pub use self::state::{OperatorState, PhaseSource};

/// Largest accepted change request, in bytes.
const MAX_CHANGE_BYTES: usize = 4 << 20;

/// Adds the status page and the calls under `/v1/` to an app.
pub fn configure(state: Data<OperatorState>) -> impl Fn(&mut ServiceConfig) + Clone {
    move |cfg| {
        let calls = web::scope("/v1")
            .app_data(web::JsonConfig::default().limit(MAX_CHANGE_BYTES))
            .wrap(from_fn(auth::check_secret))
            .route("/status", web::get().to(status::status))
            .route("/config", web::get().to(config::export))
            .route("/config/status", web::get().to(status::config_status))
            .route("/config/history", web::get().to(config::history))
            .route("/changes", web::post().to(change::submit))
            .route("/changes/{id}", web::get().to(change::show))
            .route("/requests/{id}", web::get().to(request::show))
            .route("/stop", web::post().to(status::stop));
        cfg.app_data(state.clone()).route("/", web::get().to(page::page)).service(calls);
    }
}
