//! Liveness, readiness and metrics on the operators' port.
//!
//! These endpoints need no secret, so that the platform's load balancer and a
//! metrics collector can call them. They expose no data of single requests or
//! workspaces.

use std::sync::Arc;

use actix_web::{
    HttpResponse, Responder,
    http::header::ContentType,
    web::{Data, ServiceConfig, get},
};

use tokio::sync::watch;

use crate::{
    http::{Phase, TrafficState},
    metrics::Metrics,
};

/// Adds the routes `/live`, `/ready` and `/metrics` to an app.
pub fn configure(
    traffic: Data<TrafficState>,
    metrics: Arc<Metrics>,
    config_ready: watch::Receiver<bool>,
) -> impl Fn(&mut ServiceConfig) + Clone {
    move |cfg| {
        cfg.app_data(traffic.clone())
            .app_data(Data::from(metrics.clone()))
            .app_data(Data::new(config_ready.clone()))
            .route("/live", get().to(live))
            .route("/ready", get().to(ready))
            .route("/metrics", get().to(render));
    }
}

async fn live() -> impl Responder {
    HttpResponse::Ok().body("live\n")
}

/// Ready if a configuration is in force and no stop has begun.
async fn ready(
    traffic: Data<TrafficState>,
    config_ready: Data<watch::Receiver<bool>>,
) -> impl Responder {
    if traffic.phase() != Phase::Serving {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if !*config_ready.borrow() || traffic.config.borrow().version == 0 {
        return HttpResponse::ServiceUnavailable().body("no configuration\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn render(metrics: Data<Metrics>) -> impl Responder {
    match metrics.render() {
        Ok(text) => HttpResponse::Ok().insert_header(ContentType::plaintext()).body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
