//! Reads request bodies within their limits.

use actix_web::{
    HttpRequest,
    error::PayloadError,
    http::header,
    web::{Bytes, BytesMut, Payload},
};
use comfreyway_core::outcome::NotRunReason;
use futures_util::StreamExt;

use crate::settings::Limits;

use super::refusal::Refusal;

/// Reads a caller's complete body.
pub(super) async fn read_body(
    req: &HttpRequest,
    payload: &mut Payload,
    limits: &Limits,
) -> Result<Bytes, Refusal> {
    let declared = declared_length(req);
    if declared.is_some_and(|length| length > limits.max_body_bytes as u64) {
        return Err(too_large(limits));
    }
    let reading = read(payload, limits);
    match tokio::time::timeout(limits.body_timeout, reading).await {
        Ok(body) => body,
        Err(_) => {
            let detail = format!("the body did not arrive within {:?}", limits.body_timeout);
            Err(Refusal::not_run(NotRunReason::SlowBody, detail))
        }
    }
}

/// Joins the chunks of a body. A body of one chunk is not copied.
async fn read(payload: &mut Payload, limits: &Limits) -> Result<Bytes, Refusal> {
    let mut single = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| broken(&e))?;
        if single.len().max(joined.len()) + chunk.len() > limits.max_body_bytes {
            return Err(too_large(limits));
        }
        if single.is_empty() {
            single = chunk;
            continue;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&single);
        }
        joined.extend_from_slice(&chunk);
    }
    Ok(if joined.is_empty() { single } else { joined.freeze() })
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
