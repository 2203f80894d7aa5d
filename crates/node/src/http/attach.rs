//! Serves a repeat from the recording of the first request.

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
    body::{BodyError, outcome_event},
    problem::{advice, problem_response},
    refusal::Refusal,
    respond::start_response,
    traffic::TrafficState,
};

/// Responds with the recorded response of the first request, or with its
/// response as it arrives.
pub(super) async fn attach(
    traffic: &TrafficState,
    first: RequestId,
    holder: Option<SocketAddr>,
) -> HttpResponse {
    let mut reader = match open_recording(traffic, first, holder).await {
        Ok(reader) => reader,
        Err(reason) => {
            traffic.metrics.unknown(reason);
            return end_response(first, ResultEnd::Unknown(reason));
        }
    };
    match reader.head().await {
        Err(end) => end_response(first, end),
        Ok(head) if is_event_stream(&head) => {
            let body = BodyStream::new(Box::pin(replay_events(first, reader)));
            start_response(first, head.status, &head.headers, false).body(body)
        }
        Ok(head) => match collect(&mut reader).await {
            Ok(body) => start_response(first, head.status, &head.headers, true).body(body),
            Err(end) => end_response(first, end),
        },
    }
}

async fn open_recording(
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
/// Serves a connection to `/results/ID` on the peers' port, whose secret has
/// already been checked.
pub async fn serve_result<S>(traffic: &TrafficState, id: RequestId, sink: &mut S)
where
    S: Sink<Message> + Unpin,
{
    match traffic.results.find(id) {
        Some(recording) => send_recording(RecordingReader::new(recording), sink).await,
        None => send_end(sink, ResultEnd::Unknown(UnknownReason::ResultExpired)).await,
    }
}

fn end_response(id: RequestId, end: ResultEnd) -> HttpResponse {
    match end {
        ResultEnd::Answered => end_response(id, ResultEnd::Unknown(UnknownReason::ResultExpired)),
        ResultEnd::NotRun { reason, retry_after } => {
            let refusal = Refusal::not_run(reason, "the first request was not run");
            problem_response(id, &Refusal { retry_after, ..refusal })
        }
        ResultEnd::Unknown(reason) => {
            let outcome = Outcome::Unknown(reason);
            problem_response(
                id,
                &Refusal { outcome, detail: advice(reason).to_owned(), retry_after: None },
            )
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

/// Progress of a replayed event stream.
enum ReplayState {
    Reading(RecordingSource),
    Aborting(UnknownReason),
    Ended,
}

/// Replays the recorded events. An incomplete recording ends with an outcome
/// event and an aborted connection, as it did for the first caller.
fn replay_events(
    id: RequestId,
    reader: RecordingSource,
) -> impl Stream<Item = Result<Bytes, BodyError>> {
    stream::unfold(ReplayState::Reading(reader), move |state| async move {
        match state {
            ReplayState::Reading(mut reader) => match reader.next().await {
                RecordedItem::Chunk(chunk) => Some((Ok(chunk), ReplayState::Reading(reader))),
                RecordedItem::End(ResultEnd::Unknown(reason)) => {
                    Some((Ok(outcome_event(id, reason)), ReplayState::Aborting(reason)))
                }
                RecordedItem::End(_) => None,
            },
            ReplayState::Aborting(reason) => {
                // Lets the last event be written before the connection is
                // aborted.
                tokio::task::yield_now().await;
                Some((Err(BodyError::Incomplete(reason)), ReplayState::Ended))
            }
            ReplayState::Ended => None,
        }
    })
}
