//! Answers a repeat from the recording of the first request.

use std::net::SocketAddr;

use actix_web::{HttpResponse, body::BodyStream, http::header};
use bytes::{Bytes, BytesMut};
use comfreyway_core::{
    ids::RequestId,
    outcome::{Outcome, UnknownReason},
};
use comfreyway_proto::result::ResultEnd;
use futures_util::{Sink, Stream, stream};
use tokio_tungstenite::tungstenite::Message;

use crate::results::{
    RecordedHead, RecordedItem, RecordingReader, RecordingSource, RemoteReader, send_end,
    send_recording,
};

use super::{
    answer::{advice, problem},
    body::{BodyError, outcome_event},
    refusal::Refusal,
    respond::build,
    traffic::TrafficState,
};

/// Answers with what the first request got or will get.
pub(super) async fn attach(
    traffic: &TrafficState,
    first: RequestId,
    holder: Option<SocketAddr>,
) -> HttpResponse {
    let mut reader = match find(traffic, first, holder).await {
        Ok(reader) => reader,
        Err(reason) => {
            traffic.metrics.unknown(reason);
            return ended(first, ResultEnd::Unknown(reason));
        }
    };
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

async fn find(
    traffic: &TrafficState,
    first: RequestId,
    holder: Option<SocketAddr>,
) -> Result<RecordingSource, UnknownReason> {
    let Some(holder) = holder else {
        let recording = traffic.results.find(first).ok_or(UnknownReason::ResultExpired)?;
        return Ok(RecordingSource::Local(RecordingReader::new(recording)));
    };
    let limit = traffic.limits.connect_timeout;
    let reader = RemoteReader::connect(holder, traffic.secret.as_ref(), first, limit).await;
    reader.map(|reader| RecordingSource::Remote(Box::new(reader))).ok_or(UnknownReason::HolderGone)
}

/// Sends the recording of a request to the host at the other end of `sink`.
/// Called for a session at `/results/ID` of the peers' port, after its secret
/// was checked.
pub async fn serve_result<S>(traffic: &TrafficState, id: RequestId, sink: &mut S)
where
    S: Sink<Message> + Unpin,
{
    match traffic.results.find(id) {
        Some(recording) => send_recording(RecordingReader::new(recording), sink).await,
        None => send_end(sink, ResultEnd::Unknown(UnknownReason::ResultExpired)).await,
    }
}

fn ended(id: RequestId, end: ResultEnd) -> HttpResponse {
    match end {
        ResultEnd::Answered => ended(id, ResultEnd::Unknown(UnknownReason::ResultExpired)),
        ResultEnd::NotRun { reason, retry_after } => {
            let refusal = Refusal::not_run(reason, "the first request was not run");
            problem(id, &Refusal { retry_after, ..refusal })
        }
        ResultEnd::Unknown(reason) => {
            let outcome = Outcome::Unknown(reason);
            problem(id, &Refusal { outcome, detail: advice(reason).to_owned(), retry_after: None })
        }
    }
}

fn is_event_stream(head: &RecordedHead) -> bool {
    let mut types = head.headers.iter().filter(|(name, _)| *name == header::CONTENT_TYPE);
    types.any(|(_, value)| value.as_bytes().starts_with(b"text/event-stream"))
}

async fn collect(reader: &mut RecordingSource) -> Result<Bytes, ResultEnd> {
    let mut body = BytesMut::new();
    loop {
        match reader.next().await {
            RecordedItem::Chunk(chunk) => body.extend_from_slice(&chunk),
            RecordedItem::End(ResultEnd::Answered) => return Ok(body.freeze()),
            RecordedItem::End(end) => return Err(end),
        }
    }
}

/// How far a repeat's stream has come.
enum Position {
    Reading(RecordingSource),
    Breaking(UnknownReason),
    Ended,
}

/// The recorded events. A recording that is not whole ends with the outcome and
/// a broken connection, as it did for the first caller.
fn events(id: RequestId, reader: RecordingSource) -> impl Stream<Item = Result<Bytes, BodyError>> {
    stream::unfold(Position::Reading(reader), move |position| async move {
        match position {
            Position::Reading(mut reader) => match reader.next().await {
                RecordedItem::Chunk(chunk) => Some((Ok(chunk), Position::Reading(reader))),
                RecordedItem::End(ResultEnd::Unknown(reason)) => {
                    Some((Ok(outcome_event(id, reason)), Position::Breaking(reason)))
                }
                RecordedItem::End(_) => None,
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
