//! The stream of changes.

use std::{collections::VecDeque, rc::Rc};

use awc::{error::PayloadError, http::StatusCode};
use bytes::Bytes;
use futures_util::{
    Stream,
    stream::{LocalBoxStream, StreamExt, unfold},
};

use crate::{KvEvent, PlatformError, Revision, http};

use super::{
    call::{Caller, refusal},
    key_value::versioned,
    wire::{
        Base64, Event, EventKind, Int64, Streamed, WatchCreateRequest, WatchRequest, WatchResponse,
        prefix_end, prefix_start,
    },
};

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = http::MAX_REPLY_BYTES;

type Payload = std::pin::Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Streams the changes after `after`. Ends after the first error.
pub(super) fn changes(
    caller: Rc<Caller>,
    prefix: &str,
    after: Revision,
) -> LocalBoxStream<'static, Result<KvEvent, PlatformError>> {
    let create_request = WatchCreateRequest {
        key: Base64(prefix_start(prefix)),
        range_end: Base64(prefix_end(prefix)),
        start_revision: Int64((after.0 + 1).cast_signed()),
    };
    let watch = Watch {
        caller,
        request: WatchRequest { create_request },
        payload: None,
        buf: Vec::new(),
        ready: VecDeque::new(),
        ended: false,
    };
    unfold(watch, Watch::next).boxed_local()
}

struct Watch {
    caller: Rc<Caller>,
    request: WatchRequest,
    payload: Option<Payload>,
    buf: Vec<u8>,
    ready: VecDeque<KvEvent>,
    ended: bool,
}

impl Watch {
    async fn next(mut self) -> Option<(Result<KvEvent, PlatformError>, Self)> {
        if self.ended {
            return None;
        }
        match self.next_event().await {
            Ok(event) => Some((Ok(event), self)),
            Err(e) => {
                self.ended = true;
                self.caller.advance();
                Some((Err(e), self))
            }
        }
    }

    async fn next_event(&mut self) -> Result<KvEvent, PlatformError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            match self.payload.take() {
                None => self.payload = Some(self.connect().await?),
                Some(mut payload) => {
                    self.read(&mut payload).await?;
                    self.payload = Some(payload);
                }
            }
        }
    }

    async fn connect(&self) -> Result<Payload, PlatformError> {
        let endpoint = self.caller.endpoint()?;
        let req = self.caller.client.post(format!("http://{endpoint}/v3/watch"));
        let body =
            serde_json::to_vec(&self.request).map_err(|e| PlatformError::NotDone(e.to_string()))?;
        let send = req.content_type("application/json").send_body(body);
        let limit = self.caller.config.time_limit;
        let sent = tokio::time::timeout(limit, send).await;
        let late = |_| PlatformError::NotDone(format!("{endpoint}: no reply to a watch in time"));
        let mut res = sent.map_err(late)?.map_err(|e| http::send_error(&e))?;
        if res.status() != StatusCode::OK {
            let body = http::read_body(&mut res).await?;
            return Err(refusal(res.status(), &body));
        }
        Ok(Box::pin(res))
    }

    /// Reads some bytes and takes the whole lines out of the buffer.
    async fn read(&mut self, payload: &mut Payload) -> Result<(), PlatformError> {
        let limit = self.caller.config.watch_silence;
        let silent = |_| PlatformError::NotDone("the watch has been silent for long".to_owned());
        let bytes = tokio::time::timeout(limit, payload.next()).await.map_err(silent)?;
        let bytes = match bytes {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => return Err(PlatformError::NotDone(format!("the watch broke: {e}"))),
            None => return Err(PlatformError::NotDone("the watch was closed".to_owned())),
        };
        self.buf.extend_from_slice(&bytes);
        let whole = self.buf.iter().rposition(|&b| b == b'\n').map_or(0, |i| i + 1);
        if self.buf.len() - whole > MAX_LINE_BYTES {
            return Err(PlatformError::Malformed("a line of the watch is too long".to_owned()));
        }
        let lines: Vec<u8> = self.buf.drain(..whole).collect();
        let lines = lines.split(|&b| b == b'\n').filter(|line| !line.is_empty());
        lines.into_iter().try_for_each(|line| self.take_line(line))
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), PlatformError> {
        let message: Streamed<WatchResponse> =
            serde_json::from_slice(line).map_err(|e| PlatformError::Malformed(e.to_string()))?;
        let message = match message {
            Streamed::Result(message) => message,
            Streamed::Error(e) => return Err(PlatformError::NotDone(e.error)),
        };
        if message.canceled {
            let cause = format!(
                "the service ended the watch; the oldest revision is {}",
                message.compact_revision.0,
            );
            return Err(PlatformError::NotDone(cause));
        }
        for event in message.events {
            self.ready.push_back(change(event)?);
        }
        Ok(())
    }
}

fn change(event: Event) -> Result<KvEvent, PlatformError> {
    let entry = versioned(event.kv)?;
    Ok(match event.kind {
        EventKind::Put => KvEvent::Put(entry),
        EventKind::Delete => KvEvent::Delete { key: entry.key, revision: entry.revision },
    })
}
