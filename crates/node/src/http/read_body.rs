//! Reads request bodies within their limits.

use std::pin::pin;

use actix_web::{
    HttpRequest,
    error::PayloadError,
    http::header,
    web::{Bytes, Payload},
};
use comfreyway_core::outcome::NotRunReason;
use futures_util::StreamExt;

use crate::{
    caller_memory::{BodyBuffer, BodyError, Caller},
    settings::Limits,
};

use super::{refusal::Refusal, traffic::RETRY_AFTER};

/// Reads a caller's complete body.
pub(super) async fn read_body(
    req: &HttpRequest,
    payload: &mut Payload,
    limits: &Limits,
    caller: &Caller,
) -> Result<Bytes, Refusal> {
    let declared = declared_length(req);
    if declared.is_some_and(|length| length > limits.max_body_bytes as u64) {
        return Err(too_large(limits));
    }
    let reading = read(payload, limits, caller);
    match tokio::time::timeout(limits.body_timeout, reading).await {
        Ok(body) => body,
        Err(_) => {
            let detail = format!("the body did not arrive within {:?}", limits.body_timeout);
            Err(Refusal::not_run(NotRunReason::SlowBody, detail))
        }
    }
}

async fn read(payload: &mut Payload, limits: &Limits, caller: &Caller) -> Result<Bytes, Refusal> {
    let mut buf = BodyBuffer::new(caller, limits.max_body_bytes);
    let mut evicted = pin!(caller.evicted());
    loop {
        let chunk = tokio::select! {
            biased;
            () = &mut evicted => return Err(no_memory()),
            chunk = payload.next() => chunk,
        };
        let Some(chunk) = chunk else { break };
        let chunk = chunk.map_err(|e| broken(&e))?;
        buf.push(&chunk).map_err(|e| unread(e, limits))?;
    }
    buf.finish().map_err(|e| unread(e, limits))
}

fn unread(e: BodyError, limits: &Limits) -> Refusal {
    match e {
        BodyError::TooLarge => too_large(limits),
        BodyError::Broken => Refusal::not_run(NotRunReason::BadRequest, "the body can't be read"),
        BodyError::Memory(_) => no_memory(),
    }
}

fn no_memory() -> Refusal {
    let detail = "callers hold all the memory of this host that they may";
    Refusal::not_run(NotRunReason::MemoryLimit, detail).with_retry_after(RETRY_AFTER)
}

fn declared_length(req: &HttpRequest) -> Option<u64> {
    let value = req.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn too_large(limits: &Limits) -> Refusal {
    let detail = format!("the body is larger than {} bytes", limits.max_body_bytes);
    Refusal::not_run(NotRunReason::TooLarge, detail)
}

fn broken(error: &PayloadError) -> Refusal {
    Refusal::not_run(NotRunReason::BadRequest, format!("the body can't be read: {error}"))
}
