//! A response that closes its connection.

use std::io;

use actix_web::{HttpResponse, body::SizedStream, http::StatusCode};
use bytes::Bytes;
use futures_util::stream;

/// Closes the connection before any byte of the response is sent: the server
/// discards what it has not written when a body fails.
pub(crate) fn cut_response() -> HttpResponse {
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("cut on purpose")) });
    HttpResponse::build(StatusCode::OK).body(SizedStream::new(1, broken))
}
