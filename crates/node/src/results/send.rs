//! Sends recordings to other hosts.

use comfreyway_proto::result::{ByteString, ResultEnd, ResultFrame, ResultHead, ResultHeader};
use futures_util::{Sink, SinkExt};
use tokio_tungstenite::tungstenite::Message;

use super::{RecordedHead, RecordedItem, RecordingReader};

/// Sends a recording to another host, up to its end. Stops early if the
/// connection fails.
pub(crate) async fn send_recording<S>(mut reader: RecordingReader, sink: &mut S)
where
    S: Sink<Message> + Unpin,
{
    match reader.head().await {
        Ok(head) => {
            if !send(sink, &ResultFrame::Head(result_head(&head))).await {
                return;
            }
        }
        Err(end) => return send_end(sink, end).await,
    }
    loop {
        match reader.next().await {
            RecordedItem::Chunk(chunk) => {
                let frame = ResultFrame::Chunk(ByteString(chunk.to_vec()));
                if !send(sink, &frame).await {
                    return;
                }
            }
            RecordedItem::End(end) => return send_end(sink, end).await,
        }
    }
}

/// Sends the end and closes the connection.
pub(crate) async fn send_end<S>(sink: &mut S, end: ResultEnd)
where
    S: Sink<Message> + Unpin,
{
    if send(sink, &ResultFrame::End(end)).await {
        // An error does not matter: the other host has received the end.
        let _ = sink.close().await;
    }
}

async fn send<S>(sink: &mut S, frame: &ResultFrame) -> bool
where
    S: Sink<Message> + Unpin,
{
    let Ok(buf) = frame.encode() else { return false };
    sink.send(Message::binary(buf)).await.is_ok()
}

fn result_head(head: &RecordedHead) -> ResultHead {
    let headers = head.headers.iter().map(|(name, value)| ResultHeader {
        name: name.as_str().to_owned(),
        value: ByteString(value.as_bytes().to_vec()),
    });
    ResultHead { status: head.status.as_u16(), headers: headers.collect() }
}
