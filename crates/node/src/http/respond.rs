//! Builds the response to a caller from an upstream's response.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};

use actix_web::{
    HttpResponse, HttpResponseBuilder,
    body::{BodySize, MessageBody},
    http::{
        StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    web::Data,
};
use bytes::{Bytes, BytesMut};
use comfreyway_core::{ids::RequestId, outcome::Outcome};
use comfreyway_proto::headers;

use crate::upstream::Framing;

use super::{
    body::{CallerExchange, ResponseBody},
    exchange::{Exchange, Step},
    handler::unknown_response,
    problem::set_outcome,
    worker::Worker,
};

/// Largest response that is read completely before its head is sent, in bytes.
/// The outcome headers can then be part of the head.
const MAX_COLLECTED_BYTES: usize = 64 << 10;

/// Builds the response to the caller from an exchange whose response head has
/// arrived.
pub(super) async fn respond(exchange: Box<Exchange>, worker: &Data<Worker>) -> HttpResponse {
    let id = exchange.id();
    let framing = exchange.head.framing;
    let is_event_stream = exchange.is_event_stream();
    let collected = match framing {
        Framing::Empty => true,
        Framing::Length(length) => !is_event_stream && length <= MAX_COLLECTED_BYTES as u64,
        Framing::Undeclared => exchange.is_json_without_length(),
    };
    let declared = exchange.declared_length();
    let mut response =
        start_response(id, exchange.head.status, &exchange.head.headers, !is_event_stream);
    let mut source = CallerExchange::new(exchange, worker.clone());
    let first = match collected {
        true => match collect(&mut source).await {
            CollectResult::Complete(_) if framing == Framing::Empty => {
                return response.body(NoBody(declared));
            }
            CollectResult::Complete(body) => return response.body(body),
            CollectResult::Broken(reason) => return unknown_response(id, reason),
            CollectResult::TooLong(first) => Some(first),
        },
        false => None,
    };
    let size = match framing {
        Framing::Length(length) => BodySize::Sized(length),
        Framing::Empty | Framing::Undeclared => BodySize::Stream,
    };
    response.body(ResponseBody::new(id, size, first, source))
}

/// Starts a response with an upstream's status and headers.
pub(super) fn start_response(
    id: RequestId,
    status: StatusCode,
    forwarded: &[(HeaderName, HeaderValue)],
    outcome_is_known: bool,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    for (name, value) in forwarded.iter().filter(|(name, _)| *name != header::CONTENT_LENGTH) {
        response.append_header((name.clone(), value.clone()));
    }
    if outcome_is_known {
        set_outcome(&mut response, id, Outcome::Answered);
    } else {
        response.insert_header((headers::REQUEST_ID, id.to_string()));
    }
    response
}

enum CollectResult {
    Complete(Bytes),
    Broken(comfreyway_core::outcome::UnknownReason),
    TooLong(Bytes),
}

async fn collect(source: &mut CallerExchange) -> CollectResult {
    let mut body = BytesMut::new();
    loop {
        match poll_fn(|cx| source.poll_step(cx)).await {
            Step::Data(chunk) => body.extend_from_slice(&chunk),
            Step::Complete => return CollectResult::Complete(body.freeze()),
            Step::Broken(reason) => return CollectResult::Broken(reason),
        }
        if body.len() > MAX_COLLECTED_BYTES {
            return CollectResult::TooLong(body.freeze());
        }
    }
}

/// The absent body of a response to `HEAD`, with the length that a `GET` would
/// have.
struct NoBody(Option<u64>);

impl MessageBody for NoBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        self.0.map_or(BodySize::None, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(None)
    }
}
