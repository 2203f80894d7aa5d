//! [`KeyValue`] in messages of the gateway.

use std::{fmt, rc::Rc, time::Duration};

use futures_util::{
    future::{FutureExt, LocalBoxFuture},
    stream::LocalBoxStream,
};

use crate::{CasOutcome, KeyValue, KvEvent, LeaseId, PlatformError, Revision, Versioned};

use super::{
    EtcdConfig,
    call::{Caller, Repeat},
    watch,
    wire::{
        Base64, Compare, DeleteRangeRequest, Int64, KeyRecord, LeaseGrantRequest, LeaseRequest,
        LeaseResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, ResponseHeader,
        ResponseOp, Streamed, TxnRequest, TxnResponse, prefix_end, prefix_start,
    },
};

const RANGE: &str = "/v3/kv/range";
const TXN: &str = "/v3/kv/txn";
const GRANT: &str = "/v3/lease/grant";
const KEEPALIVE: &str = "/v3/lease/keepalive";
const REVOKE: &str = "/v3/lease/revoke";

/// A client of the etcd v3 JSON gateway. Clones share their connections and
/// stay on one thread.
#[derive(Clone)]
pub struct EtcdKeyValue {
    caller: Rc<Caller>,
}

impl fmt::Debug for EtcdKeyValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EtcdKeyValue").field("config", &self.caller.config).finish()
    }
}

impl EtcdKeyValue {
    /// A client of this gateway. Connects with the first call.
    #[must_use]
    pub fn new(config: EtcdConfig) -> Self {
        Self { caller: Rc::new(Caller::new(config)) }
    }

    async fn range(&self, req: RangeRequest) -> Result<Vec<Versioned>, PlatformError> {
        let res: RangeResponse = self.caller.call(RANGE, &req, Repeat::Harmless).await?;
        res.kvs.into_iter().map(versioned).collect()
    }

    /// Runs `op` if the key is at `expected`, else reads the key.
    async fn guarded(
        &self,
        key: &str,
        expected: Revision,
        op: RequestOp,
    ) -> Result<CasOutcome, PlatformError> {
        let compare = Compare {
            key: key.into(),
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            mod_revision: Int64(expected.0.cast_signed()),
        };
        let read = RangeRequest { key: key.into(), range_end: Base64::default() };
        let failure = vec![RequestOp::RequestRange(read)];
        let req = TxnRequest { compare: vec![compare], success: vec![op], failure };
        let res: TxnResponse = self.caller.call(TXN, &req, Repeat::Harmful).await?;
        if res.succeeded {
            return Ok(CasOutcome::Written(revision(&res.header)));
        }
        let found = res.responses.into_iter().find_map(|op| match op {
            ResponseOp::ResponseRange(range) => Some(range.kvs),
            _ => None,
        });
        let present = found.unwrap_or_default().into_iter().next().map(versioned).transpose()?;
        Ok(CasOutcome::Mismatch(present))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, PlatformError> {
        let req = LeaseRequest { id: Int64(lease.0) };
        let res: Streamed<LeaseResponse> =
            self.caller.call(KEEPALIVE, &req, Repeat::Harmless).await?;
        match res {
            Streamed::Result(LeaseResponse { ttl: Int64(seconds @ 1..), .. }) => {
                Ok(Duration::from_secs(seconds.unsigned_abs()))
            }
            Streamed::Result(_) => Err(PlatformError::LeaseLapsed),
            Streamed::Error(e) => Err(PlatformError::NotDone(e.error)),
        }
    }
}

impl KeyValue for EtcdKeyValue {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Versioned>, PlatformError>> {
        let req = RangeRequest { key: key.into(), range_end: Base64::default() };
        async move { Ok(self.range(req).await?.into_iter().next()) }.boxed_local()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Versioned>, PlatformError>> {
        let range_end = Base64(prefix_end(prefix));
        let key = Base64(prefix_start(prefix));
        self.range(RangeRequest { key, range_end }).boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let lease = Int64(lease.map_or(0, |id| id.0));
        let put = PutRequest { key: key.into(), value: Base64(value), lease };
        self.guarded(key, expected, RequestOp::RequestPut(put)).boxed_local()
    }

    fn compare_and_delete<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let delete = DeleteRangeRequest { key: key.into() };
        self.guarded(key, expected, RequestOp::RequestDeleteRange(delete)).boxed_local()
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>> {
        // The service counts whole seconds; rounding up never shortens a lease.
        let seconds = ttl.as_millis().div_ceil(1000).max(1);
        let req = LeaseGrantRequest { ttl: Int64(i64::try_from(seconds).unwrap_or(i64::MAX)) };
        async move {
            let res: LeaseResponse = self.caller.call(GRANT, &req, Repeat::Harmful).await?;
            Ok(LeaseId(res.id.0))
        }
        .boxed_local()
    }

    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<Duration, PlatformError>> {
        self.keep_alive(lease).boxed_local()
    }

    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        let req = LeaseRequest { id: Int64(lease.0) };
        async move {
            let _: serde_json::Value = self.caller.call(REVOKE, &req, Repeat::Harmful).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> LocalBoxStream<'a, Result<KvEvent, PlatformError>> {
        watch::changes(self.caller.clone(), prefix, after)
    }
}

fn revision(header: &ResponseHeader) -> Revision {
    Revision(header.revision.0.unsigned_abs())
}

/// Checks that the key is text.
pub(super) fn versioned(record: KeyRecord) -> Result<Versioned, PlatformError> {
    let key = String::from_utf8(record.key.0)
        .map_err(|e| PlatformError::Malformed(format!("a key is not text: {e}")))?;
    let revision = Revision(record.mod_revision.0.unsigned_abs());
    Ok(Versioned { key, value: record.value.0, revision })
}
