//! HTTP handlers of an engine.

use std::sync::Arc;

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{Bytes, Data, Path, Query, ServiceConfig, delete, get, post},
};
use comfreyway_proto::headers;
use serde::Deserialize;
use serde_json::json;

use crate::{
    cut::cut_response,
    leaving::Leaving,
    run_log::{Run, header},
};

use super::{
    Shared,
    cache::CacheEvents,
    chat::ChatRequest,
    job::{End, Job},
    stream::{self, Reader},
};

type Engine = Data<Shared>;

pub(super) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/v1/chat/completions", post().to(chat))
        .route("/v1/requests/{id}", delete().to(cancel))
        .route("/v1/load", get().to(load))
        .route("/v1/cache-events", get().to(cache_events))
        .route("/v1/orders", post().to(order));
}

async fn chat(engine: Engine, req: HttpRequest, body: Bytes) -> HttpResponse {
    engine.start_batches();
    let last_event = header(&req, headers::LAST_EVENT_ID);
    if !last_event.is_empty() {
        return resume(&engine, &req, &body, &last_event).await;
    }
    let leaving = engine.leaving();
    if leaving == Leaving::Refusing {
        return leaving.mark(&mut HttpResponse::ServiceUnavailable()).finish();
    }
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(e) => return problem(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    if !engine.accepts_fencing(&header(&req, headers::FENCING)) {
        return problem(StatusCode::PRECONDITION_FAILED, "old fencing token");
    }
    engine.log.push(Run::new(&req, &body));
    let job = Arc::new(Job::new(chat.model.clone(), chat.prompt(), chat.max_tokens().max(1)));
    engine.add(&header(&req, headers::REQUEST_ID), job.clone());
    respond(&engine, job, chat.stream, 0).await
}

async fn resume(engine: &Engine, req: &HttpRequest, body: &[u8], after: &str) -> HttpResponse {
    engine.count_resume();
    let job = engine.job(&header(req, headers::REQUEST_ID));
    let (Some(job), true) = (job, engine.settings.resumes) else {
        return problem(StatusCode::NOT_FOUND, "the request is not known");
    };
    if job.progress.borrow().end == Some(End::Cancelled) {
        return problem(StatusCode::GONE, "the request was cancelled");
    }
    let chat: ChatRequest = match serde_json::from_slice(body) {
        Ok(chat) => chat,
        Err(e) => return problem(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    match after.parse() {
        Ok(after) => respond(engine, job, chat.stream, after).await,
        Err(_) => problem(StatusCode::BAD_REQUEST, "last-event-id is not a number"),
    }
}

async fn respond(engine: &Engine, job: Arc<Job>, streamed: bool, after: u32) -> HttpResponse {
    let reader = Reader::new(job, !engine.settings.resumes);
    let leaving = engine.leaving();
    let mut res = HttpResponse::Ok();
    leaving.mark(&mut res);
    if streamed {
        let events = stream::events(reader, after, engine.take_cut());
        return res.content_type("text/event-stream").streaming(events);
    }
    match stream::complete(reader).await {
        Some(text) => res.content_type("application/json").body(text),
        None => cut_response(),
    }
}

async fn cancel(engine: Engine, id: Path<String>) -> HttpResponse {
    engine.count_cancel();
    let cancelled = engine.job(&id).is_some_and(|job| job.cancel());
    if cancelled { HttpResponse::NoContent().finish() } else { HttpResponse::NotFound().finish() }
}

async fn load(engine: Engine) -> HttpResponse {
    let lag = engine.settings.load_lag;
    let mut res = HttpResponse::Ok();
    engine.leaving().mark(&mut res).json(engine.batch().load.report(lag))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(engine: Engine, query: Query<EventsQuery>) -> HttpResponse {
    let (last, events) = engine.batch().cache.events(query.after, engine.settings.cache_lag);
    HttpResponse::Ok().json(CacheEvents { instance: engine.instance, last, events })
}

async fn order(engine: Engine, req: HttpRequest, body: Bytes) -> HttpResponse {
    if !engine.accepts_fencing(&header(&req, headers::FENCING)) {
        return problem(StatusCode::PRECONDITION_FAILED, "old fencing token");
    }
    engine.orders.push(Run::new(&req, &body));
    HttpResponse::Ok().json(json!({"accepted": true}))
}

fn problem(status: StatusCode, text: &str) -> HttpResponse {
    HttpResponse::build(status).json(json!({"error": {"message": text}}))
}
