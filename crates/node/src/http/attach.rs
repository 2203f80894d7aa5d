//! Answers a repeat from the recording of the first request.

use std::net::SocketAddr;

use actix_web::{HttpResponse, body::BodyStream, http::header, web::Data};
use bytes::{Bytes, BytesMut};
use comfreyway_core::{
    ids::RequestId,
    outcome::{Outcome, UnknownReason},
};
use futures_util::{Stream, stream};

use crate::results::{Recorded, RecordedEnd, RecordedHead, RecordingReader};

use super::{
    answer::{advice, problem},
    body::{BodyError, outcome_event},
    refusal::Refusal,
    respond::build,
    traffic::Traffic,
    worker::Worker,
};

/// Answers with what the first request got or will get.
pub(super) async fn attach(
    traffic: &Traffic,
    _worker: &Data<Worker>,
    first: RequestId,
    holder: Option<SocketAddr>,
) -> HttpResponse {
    let recording = match holder {
        None => traffic.results.find(first),
        Some(_) => None,
    };
    let Some(recording) = recording else {
        let reason = match holder {
            None => UnknownReason::ResultExpired,
            Some(_) => UnknownReason::HolderGone,
        };
        traffic.metrics.unknown(reason);
        return ended(first, RecordedEnd::Unknown(reason));
    };
    let mut reader = RecordingReader::new(recording);
    match reader.head().await {
        Err(end) => ended(first, end),
        Ok(head) if is_event_stream(&head) => {
            let body = BodyStream::new(Box::pin(events(first, reader)));
            build(first, head.status, &head.headers, false).body(body)
        }
        Ok(head) => match collect(&mut reader).await {
            Ok(body) => build(first, head.status, &head.headers, true).body(body),
            Err(end) => ended(first, end),
        },
    }
}

fn ended(id: RequestId, end: RecordedEnd) -> HttpResponse {
    match end {
        RecordedEnd::Answered => ended(id, RecordedEnd::Unknown(UnknownReason::ResultExpired)),
        RecordedEnd::NotRun { reason, retry_after } => {
            let refusal = Refusal::not_run(reason, "the first request was not run");
            problem(id, &Refusal { retry_after, ..refusal })
        }
        RecordedEnd::Unknown(reason) => {
            let outcome = Outcome::Unknown(reason);
            problem(id, &Refusal { outcome, detail: advice(reason).to_owned(), retry_after: None })
        }
    }
}

fn is_event_stream(head: &RecordedHead) -> bool {
    let mut types = head.headers.iter().filter(|(name, _)| *name == header::CONTENT_TYPE);
    types.any(|(_, value)| value.as_bytes().starts_with(b"text/event-stream"))
}

async fn collect(reader: &mut RecordingReader) -> Result<Bytes, RecordedEnd> {
    let mut body = BytesMut::new();
    loop {
        match reader.next().await {
            Recorded::Chunk(chunk) => body.extend_from_slice(&chunk),
            Recorded::End(RecordedEnd::Answered) => return Ok(body.freeze()),
            Recorded::End(end) => return Err(end),
        }
    }
}

/// How far a repeat's stream has come.
enum Position {
    Reading(RecordingReader),
    Breaking(UnknownReason),
    Ended,
}

/// The recorded events. A recording that is not whole ends with the outcome and
/// a broken connection, as it did for the first caller.
fn events(id: RequestId, reader: RecordingReader) -> impl Stream<Item = Result<Bytes, BodyError>> {
    stream::unfold(Position::Reading(reader), move |position| async move {
        match position {
            Position::Reading(mut reader) => match reader.next().await {
                Recorded::Chunk(chunk) => Some((Ok(chunk), Position::Reading(reader))),
                Recorded::End(RecordedEnd::Unknown(reason)) => {
                    Some((Ok(outcome_event(id, reason)), Position::Breaking(reason)))
                }
                Recorded::End(_) => None,
            },
            Position::Breaking(reason) => {
                // Lets the last event go out before the connection breaks.
                tokio::task::yield_now().await;
                Some((Err(BodyError::Broken(reason)), Position::Ended))
            }
            Position::Ended => None,
        }
    })
}
