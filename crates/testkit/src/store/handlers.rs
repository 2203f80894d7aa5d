//! The calls of the store.

use std::time::{Duration, Instant};

use actix_web::{
    HttpResponse,
    http::StatusCode,
    web::{Data, Json, Path, Query, ServiceConfig, delete, get, post},
};
use base64::{Engine, prelude::BASE64_STANDARD};
use comfreyway_adapter::wire::{
    LeaseCall, LeaseReply, RangeReply, RevisionReply, TransactionCall, WatchReply,
};
use serde::Deserialize;

use crate::cut::cut;

use super::{Shared, StoreCall, StoreOutage, WATCH_POLL, keys::PAGE};

type Store = Data<Shared>;

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
    cfg.route("/kv-range", get().to(range))
        .route("/kv-watch", get().to(watch))
        .route("/kv-txn", post().to(transact))
        .route("/kv-lease", post().to(grant))
        .route("/kv-keep/{id}", post().to(renew))
        .route("/kv-lease-end/{id}", delete().to(end));
}

async fn range(store: Store, Query(query): Query<RangeQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Range).await {
        return refusal;
    }
    store.keys(|keys| {
        keys.expire();
        let mut items = keys.range(&query.prefix, &query.after);
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        HttpResponse::Ok().json(RangeReply { items, has_more, at: keys.revision() })
    })
}

async fn watch(store: Store, Query(query): Query<WatchQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Watch).await {
        return refusal;
    }
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let found = store.keys(|keys| {
            keys.expire();
            keys.changes(&query.prefix, query.after).map(|events| (events, keys.revision()))
        });
        let Some((events, at)) = found else {
            return HttpResponse::build(StatusCode::GONE).finish();
        };
        if store.faults().outage != StoreOutage::None {
            return cut();
        }
        if !events.is_empty() || Instant::now() >= until {
            return HttpResponse::Ok().json(WatchReply { events, at });
        }
        tokio::time::sleep(WATCH_POLL).await;
    }
}

async fn transact(store: Store, Json(call): Json<TransactionCall>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Txn).await {
        return refusal;
    }
    let reply = store.keys(|keys| {
        keys.expire();
        let met = call.expect_rev.iter().all(|row| keys.revision_of(&row.key) == row.revision);
        if !met {
            return HttpResponse::build(StatusCode::PRECONDITION_FAILED).finish();
        }
        if call.puts.iter().any(|put| put.lease != 0 && !keys.has_lease(put.lease)) {
            return HttpResponse::NotFound().finish();
        }
        for put in &call.puts {
            let value = BASE64_STANDARD.decode(&put.value).unwrap_or_default();
            keys.put(&put.key, value, put.lease);
        }
        for key in &call.deletes {
            keys.delete(key);
        }
        HttpResponse::Ok().json(RevisionReply { revision: keys.revision() })
    });
    if store.faults().lose_write_replies { cut() } else { reply }
}

async fn grant(store: Store, Json(call): Json<LeaseCall>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Lease).await {
        return refusal;
    }
    let lease = store.keys(|keys| keys.grant(Duration::from_millis(call.ttl_ms)));
    HttpResponse::Ok().json(LeaseReply { lease })
}

async fn renew(store: Store, id: Path<i64>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Lease).await {
        return refusal;
    }
    let renewed = store.keys(|keys| {
        keys.expire();
        keys.renew(*id)
    });
    match renewed {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::NotFound().finish(),
    }
}

async fn end(store: Store, id: Path<i64>) -> HttpResponse {
    if let Some(refusal) = admit(&store, StoreCall::Lease).await {
        return refusal;
    }
    store.keys(|keys| keys.end(*id));
    HttpResponse::Ok().finish()
}

/// Counts a call, and answers it if the store does not serve.
async fn admit(store: &Store, call: StoreCall) -> Option<HttpResponse> {
    store.count(call);
    match store.faults().outage {
        StoreOutage::None => None,
        StoreOutage::Busy => Some(HttpResponse::ServiceUnavailable().finish()),
        StoreOutage::OverRate => Some(HttpResponse::TooManyRequests().finish()),
        StoreOutage::Silent => {
            while store.faults().outage == StoreOutage::Silent {
                tokio::time::sleep(WATCH_POLL).await;
            }
            Some(cut())
        }
    }
}
