//! HTTP handlers of the store.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use actix_web::{
    Error, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::{StatusCode, header::HeaderName},
    middleware::{Next, from_fn},
    web::{Data, Json, JsonConfig, Path, Query, ServiceConfig, delete, get, post, scope},
};
use base64::{Engine, prelude::BASE64_STANDARD};
use comfreyway_adapter::wire::{
    Item, LeaseCall, LeaseReply, RangeReply, RevisionReply, TransactionCall, WatchReply,
};
use comfreyway_platform::{KvEvent, LeaseId, Revision, Versioned, embedded};
use serde::{Deserialize, Serialize};

use crate::cut::cut_response;

use super::{CallKind, Shared, StoreOutage, faults::WriteFault};

/// Largest number of items in a page.
const MAX_PAGE_ITEMS: usize = 500;

/// Interval at which a waiting watch polls for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Largest request body.
const MAX_CALL_BYTES: usize = 8 << 20;

type Store = Data<Shared>;

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

pub(super) fn configure(cfg: &mut ServiceConfig) {
    let calls = scope("").wrap(from_fn(tell_era));
    let calls = calls
        .route("/kv-key", get().to(read))
        .route("/kv-range", get().to(range))
        .route("/kv-watch", get().to(watch))
        .route("/kv-txn", post().to(transact))
        .route("/kv-lease", post().to(grant))
        .route("/kv-keep/{id}", post().to(renew))
        .route("/kv-lease-end/{id}", delete().to(revoke));
    cfg.app_data(JsonConfig::default().limit(MAX_CALL_BYTES)).service(calls);
}

/// Adds the era of the store to a reply. A call during which it changed gets none.
async fn tell_era<B>(req: ServiceRequest, next: Next<B>) -> Result<ServiceResponse<BoxBody>, Error>
where
    B: MessageBody + 'static,
{
    let store = req.app_data::<Store>().cloned();
    let era = || store.as_ref().map_or(0, |store| store.era.load(Ordering::Relaxed));
    let before = era();
    let mut res = next.call(req).await?.map_into_boxed_body();
    if era() != before {
        return Ok(res.into_response(cut_response()));
    }
    res.headers_mut().insert(HeaderName::from_static("store-era"), before.into());
    Ok(res)
}

async fn read(store: Store, Query(query): Query<KeyQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Range).await {
        return refusal;
    }
    match store.keys.with_store(|keys, now| keys.get(&query.key, now)) {
        Some(entry) => reply(&store, &item(&entry)).await,
        None => HttpResponse::NotFound().finish(),
    }
}

async fn range(store: Store, Query(query): Query<RangeQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Range).await {
        return refusal;
    }
    if !query.after.is_empty() && store.faults.first_pages_only() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (found, at) =
        store.keys.with_store(|keys, now| (keys.list(&query.prefix, now), keys.revision().0));
    let rest: Vec<_> = found.iter().filter(|entry| entry.key > query.after).collect();
    let has_more = rest.len() > MAX_PAGE_ITEMS;
    let items = rest.into_iter().take(MAX_PAGE_ITEMS).map(item).collect();
    reply(&store, &RangeReply { items, has_more, at }).await
}

/// Counts a watch while it waits.
struct WaitingWatch(Arc<Shared>);

impl WaitingWatch {
    fn new(shared: Arc<Shared>) -> Self {
        shared.counters.watch_started();
        Self(shared)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.counters.watch_ended();
    }
}

async fn watch(store: Store, Query(query): Query<WatchQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Watch).await {
        return refusal;
    }
    let waiting = WaitingWatch::new(store.clone().into_inner());
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = store.keys.with_store(|keys, now| {
            let changes = keys.changes(&query.prefix, Revision(query.after), now);
            (changes, keys.revision().0)
        });
        let (Ok(changes), at) = changed else {
            return HttpResponse::build(StatusCode::GONE).finish();
        };
        match store.faults.outage() {
            // A waiting watch is held while the store is silent, then closed.
            Some(StoreOutage::Silent) => return hold_while_silent(&store).await,
            Some(_) => return cut_response(),
            None => {}
        }
        if !changes.is_empty() || Instant::now() >= until {
            drop(waiting);
            let events = changes.iter().map(event).collect();
            return reply(&store, &WatchReply { events, at }).await;
        }
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

async fn transact(store: Store, Json(call): Json<TransactionCall>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Txn).await {
        return refusal;
    }
    let puts = call.puts.iter().map(|put| &put.key);
    let first = puts.chain(&call.deletes).next().cloned().unwrap_or_default();
    match store.faults.write_fault(&first) {
        WriteFault::None => match apply(&store, &call) {
            Ok(revision) => reply(&store, &RevisionReply { revision }).await,
            Err(status) => HttpResponse::build(status).finish(),
        },
        WriteFault::ReplyLost => {
            // The caller gets no reply, whether or not the write was done.
            let _ = apply(&store, &call);
            cut_response()
        }
        WriteFault::Delayed(time) => {
            actix_rt::spawn(async move {
                tokio::time::sleep(time).await;
                let _ = apply(&store, &call);
            });
            cut_response()
        }
    }
}

/// Applies a transaction completely or not at all.
fn apply(store: &Store, call: &TransactionCall) -> Result<u64, StatusCode> {
    store.keys.with_store(|keys, now| {
        let revision = |keys: &mut embedded::MemoryStore, key: &str| {
            keys.get(key, now).map_or(Revision(0), |entry| entry.revision)
        };
        let met = call.expect_rev.iter().all(|row| revision(keys, &row.key).0 == row.revision);
        if !met {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        let leased = call.puts.iter().filter(|put| put.lease != 0);
        if leased.into_iter().any(|put| !keys.has_lease(LeaseId(put.lease), now)) {
            return Err(StatusCode::NOT_FOUND);
        }
        for put in &call.puts {
            let present = revision(keys, &put.key);
            let value = BASE64_STANDARD.decode(&put.value).unwrap_or_default();
            let lease = (put.lease != 0).then_some(LeaseId(put.lease));
            let written = keys.compare_and_swap(&put.key, present, value, lease, now);
            written.map_err(|_| StatusCode::NOT_FOUND)?;
        }
        for key in &call.deletes {
            let present = revision(keys, key);
            keys.compare_and_delete(key, present, now);
        }
        Ok(keys.revision().0)
    })
}

async fn grant(store: Store, Json(call): Json<LeaseCall>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Grant).await {
        return refusal;
    }
    let ttl = Duration::from_millis(call.ttl_ms);
    let lease = store.keys.with_store(|keys, now| keys.grant_lease(ttl, now)).0;
    reply(&store, &LeaseReply { lease }).await
}

async fn renew(store: Store, id: Path<i64>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::KeepAlive).await {
        return refusal;
    }
    match store.keys.with_store(|keys, now| keys.renew_lease(LeaseId(*id), now)) {
        Ok(_) => HttpResponse::Ok().finish(),
        Err(_) => HttpResponse::NotFound().finish(),
    }
}

async fn revoke(store: Store, id: Path<i64>) -> HttpResponse {
    if let Some(refusal) = admit(&store, CallKind::Revoke).await {
        return refusal;
    }
    match store.keys.with_store(|keys, now| keys.revoke_lease(LeaseId(*id), now)) {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(_) => HttpResponse::NotFound().finish(),
    }
}

/// Counts a call. Returns a response if a fault refuses the call.
async fn admit(store: &Store, kind: CallKind) -> Option<HttpResponse> {
    store.counters.count(kind);
    match store.faults.outage() {
        Some(StoreOutage::Busy) => return Some(HttpResponse::ServiceUnavailable().finish()),
        Some(StoreOutage::Cut) => return Some(cut_response()),
        Some(StoreOutage::RateLimited) => return Some(HttpResponse::TooManyRequests().finish()),
        Some(StoreOutage::Silent) => return Some(hold_while_silent(store).await),
        None => {}
    }
    let allowed = store.faults.within_rate(kind.is_write());
    (!allowed).then(|| HttpResponse::TooManyRequests().finish())
}

/// Holds a call until the store is no longer silent, then closes the connection.
/// The call has no effect.
async fn hold_while_silent(store: &Store) -> HttpResponse {
    while store.faults.outage() == Some(StoreOutage::Silent) {
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
    cut_response()
}

async fn reply<T>(store: &Store, message: &T) -> HttpResponse
where
    T: Serialize,
{
    let delay = store.faults.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    HttpResponse::Ok().json(message)
}

fn item(entry: &Versioned) -> Item {
    Item {
        key: entry.key.clone(),
        value: Some(BASE64_STANDARD.encode(&entry.value)),
        revision: entry.revision.0,
        tombstone: None,
    }
}

fn event(change: &KvEvent) -> Item {
    match change {
        KvEvent::Put(entry) => item(entry),
        KvEvent::Delete { key, revision } => {
            Item { key: key.clone(), revision: revision.0, tombstone: Some(true), value: None }
        }
    }
}
