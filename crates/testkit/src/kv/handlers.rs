//! The calls of the gateway.

use actix_web::{
    HttpResponse,
    http::StatusCode,
    web::{Data, Json, ServiceConfig, post},
};
use comfreyway_platform::{
    CasOutcome, LeaseId, PlatformError, Revision, Versioned,
    etcd::wire::{
        Base64, ErrorBody, Int64, KeyRecord, LeaseGrantRequest, LeaseRequest, LeaseResponse,
        RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, Streamed, TxnRequest,
        TxnResponse, WatchRequest, WriteResponse, prefix_end,
    },
};
use serde::Serialize;

use crate::cut::cut;

use super::{CallKind, Outage, Shared, watch};

/// Codes of gRPC.
const INVALID_ARGUMENT: i32 = 3;
const NOT_FOUND: i32 = 5;
const RESOURCE_EXHAUSTED: i32 = 8;
const UNAVAILABLE: i32 = 14;

type Kv = Data<Shared>;

pub(super) fn configure(cfg: &mut ServiceConfig) {
    // Keep-alive and watch bodies come without the content type at times.
    cfg.app_data(actix_web::web::JsonConfig::default().limit(8 << 20).content_type_required(false))
        .route("/v3/kv/range", post().to(range))
        .route("/v3/kv/txn", post().to(txn))
        .route("/v3/lease/grant", post().to(grant))
        .route("/v3/lease/keepalive", post().to(keep_alive))
        .route("/v3/lease/revoke", post().to(revoke))
        .route("/v3/watch", post().to(start_watch));
}

async fn range(kv: Kv, Json(req): Json<RangeRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::Range).await {
        return refusal;
    }
    match read(&kv, &req) {
        Some(res) => reply(&kv, &res).await,
        None => refuse(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, "only prefixes are served"),
    }
}

async fn txn(kv: Kv, Json(req): Json<TxnRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::Txn).await {
        return refusal;
    }
    let ([compare], [success]) = (&req.compare[..], &req.success[..]) else {
        return refuse(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, "one comparison, one operation");
    };
    let key = text(&compare.key);
    let expected = Revision(compare.mod_revision.0.unsigned_abs());
    let outcome = kv.store.with_store(|store, now| match success {
        RequestOp::RequestPut(put) => {
            let lease = (put.lease.0 != 0).then_some(LeaseId(put.lease.0));
            store.compare_and_swap(&key, expected, put.value.0.clone(), lease, now)
        }
        RequestOp::RequestDeleteRange(_) => Ok(store.compare_and_delete(&key, expected, now)),
        RequestOp::RequestRange(_) => Ok(CasOutcome::Mismatch(store.get(&key, now))),
    });
    if kv.faults.loses_reply(&key) {
        return cut();
    }
    match outcome {
        Ok(outcome) => reply(&kv, &txn_response(&kv, success, outcome)).await,
        Err(e) => lease_error(&e),
    }
}

async fn grant(kv: Kv, Json(req): Json<LeaseGrantRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::Grant).await {
        return refusal;
    }
    let ttl = std::time::Duration::from_secs(req.ttl.0.unsigned_abs());
    let id = kv.store.with_store(|store, now| store.grant_lease(ttl, now));
    reply(&kv, &LeaseResponse { header: header(&kv), id: Int64(id.0), ttl: req.ttl }).await
}

async fn keep_alive(kv: Kv, Json(req): Json<LeaseRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::KeepAlive).await {
        return refusal;
    }
    let left = kv.store.with_store(|store, now| store.renew_lease(LeaseId(req.id.0), now));
    // A lapsed lease is answered with no time left, as the real service does.
    let seconds = left.map_or(0, |left| left.as_secs().cast_signed());
    let res = LeaseResponse { header: header(&kv), id: req.id, ttl: Int64(seconds) };
    reply(&kv, &Streamed::Result(res)).await
}

async fn revoke(kv: Kv, Json(req): Json<LeaseRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::Revoke).await {
        return refusal;
    }
    match kv.store.with_store(|store, now| store.revoke_lease(LeaseId(req.id.0), now)) {
        Ok(()) => reply(&kv, &WriteResponse { header: header(&kv) }).await,
        Err(e) => lease_error(&e),
    }
}

async fn start_watch(kv: Kv, Json(req): Json<WatchRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&kv, CallKind::Watch).await {
        return refusal;
    }
    let create = req.create_request;
    let prefix = text(&create.key);
    let after = Revision(create.start_revision.0.unsigned_abs().saturating_sub(1));
    HttpResponse::Ok().content_type("application/json").streaming(watch::lines(
        kv.into_inner(),
        &prefix,
        after,
    ))
}

/// Counts the call and applies outage and rate.
async fn admit(kv: &Kv, kind: CallKind) -> Option<HttpResponse> {
    kv.counters.count(kind);
    match kv.faults.outage() {
        Some(Outage::Unavailable) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Some(refuse(status, UNAVAILABLE, "etcdserver: no leader"));
        }
        Some(Outage::Cut) => return Some(cut()),
        Some(Outage::Hang) => {
            // Held until the outage ends, and then cut without an effect.
            let _ = kv.faults.outages().wait_for(|&o| o != Some(Outage::Hang)).await;
            return Some(cut());
        }
        None => {}
    }
    if kv.faults.within_rate(kind.writes()) {
        return None;
    }
    let status = StatusCode::TOO_MANY_REQUESTS;
    Some(refuse(status, RESOURCE_EXHAUSTED, "etcdserver: too many requests"))
}

async fn reply<T>(kv: &Kv, message: &T) -> HttpResponse
where
    T: Serialize,
{
    let delay = kv.faults.delay();
    if !delay.is_zero() {
        actix_rt::time::sleep(delay).await;
    }
    HttpResponse::Ok().json(message)
}

fn refuse(status: StatusCode, code: i32, error: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorBody { error: error.to_owned(), code })
}

fn lease_error(error: &PlatformError) -> HttpResponse {
    match error {
        PlatformError::LeaseLapsed => {
            let text = "etcdserver: requested lease not found";
            refuse(StatusCode::NOT_FOUND, NOT_FOUND, text)
        }
        other => refuse(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, &other.to_string()),
    }
}

fn read(kv: &Kv, req: &RangeRequest) -> Option<RangeResponse> {
    let key = text(&req.key);
    let found = if req.range_end.is_empty() {
        kv.store.with_store(|store, now| store.get(&key, now)).into_iter().collect()
    } else if req.range_end.0 == prefix_end(&key) {
        kv.store.with_store(|store, now| store.list(&key, now))
    } else {
        return None;
    };
    Some(range_response(kv, found))
}

fn range_response(kv: &Kv, found: Vec<Versioned>) -> RangeResponse {
    let count = Int64(i64::try_from(found.len()).unwrap_or(i64::MAX));
    RangeResponse { header: header(kv), kvs: found.into_iter().map(record).collect(), count }
}

fn txn_response(kv: &Kv, op: &RequestOp, outcome: CasOutcome) -> TxnResponse {
    let header = header(kv);
    match outcome {
        CasOutcome::Written(revision) => {
            let header = ResponseHeader { revision: Int64(revision.0.cast_signed()) };
            let write = WriteResponse { header: header.clone() };
            let response = match op {
                RequestOp::RequestPut(_) => ResponseOp::ResponsePut(write),
                _ => ResponseOp::ResponseDeleteRange(write),
            };
            TxnResponse { header, succeeded: true, responses: vec![response] }
        }
        CasOutcome::Mismatch(present) => {
            let found = range_response(kv, present.into_iter().collect());
            let responses = vec![ResponseOp::ResponseRange(found)];
            TxnResponse { header, succeeded: false, responses }
        }
    }
}

pub(super) fn record(entry: Versioned) -> KeyRecord {
    KeyRecord {
        key: Base64(entry.key.into_bytes()),
        mod_revision: Int64(entry.revision.0.cast_signed()),
        value: Base64(entry.value),
        lease: Int64(0),
    }
}

fn header(kv: &Kv) -> ResponseHeader {
    let revision = kv.store.with_store(|store, _| store.revision());
    ResponseHeader { revision: Int64(revision.0.cast_signed()) }
}

/// The key as text; the single byte zero stands for the first key.
fn text(key: &Base64) -> String {
    if key.0 == [0] { String::new() } else { String::from_utf8_lossy(&key.0).into_owned() }
}
