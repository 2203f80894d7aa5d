//! Replies that cut their connection.

use std::io;

use actix_web::{HttpResponse, body::SizedStream, http::StatusCode};
use bytes::Bytes;
use futures_util::stream;

/// A reply that breaks off right after its head.
pub(crate) fn cut() -> HttpResponse {
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("cut on purpose")) });
    HttpResponse::build(StatusCode::OK).body(SizedStream::new(1, broken))
}
