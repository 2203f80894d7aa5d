//! Reads the bodies of requests into memory that the host can spare.

use bytes::Bytes;
use comfreyway_core::fleet::CallerMemoryError;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::caller_memory::Caller;

/// Minimum size of the buffer of a body.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Unused bytes of a buffer that are given back once the body is complete.
const MAX_UNUSED_BYTES: usize = 64 << 10;

/// Bytes after which a body counts as having advanced.
const PROGRESS_BYTES: usize = 16 << 10;

/// Reason for not having read a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    /// It is larger than callers may send.
    TooLarge,
    /// The caller closed the connection or broke the framing.
    Broken,
    /// The host has no memory for it.
    Memory(CallerMemoryError),
}

impl From<CallerMemoryError> for BodyError {
    fn from(e: CallerMemoryError) -> Self {
        Self::Memory(e)
    }
}

/// Reads a body of at most `max` bytes.
pub(super) async fn read_body(
    body: &mut Incoming,
    max: usize,
    caller: &Caller,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint();
    if declared.lower() > max as u64 {
        return Err(BodyError::TooLarge);
    }
    let exact = declared.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut buf =
        BodyBuffer { caller, max: exact.unwrap_or(max), bytes: Vec::new(), advanced_at: 0 };
    let evicted = caller.evicted();
    let mut evicted = std::pin::pin!(evicted);
    loop {
        let frame = tokio::select! {
            biased;
            () = &mut evicted => return Err(CallerMemoryError::Evicted.into()),
            frame = body.frame() => frame,
        };
        match frame {
            None => break,
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buf.push(&data)?;
                }
            }
        }
    }
    let bytes = buf.finish()?;
    caller.end_body()?;
    Ok(bytes)
}

/// The part of a body that was read. Frames are copied: a small one would keep the whole
/// buffer that it was received in.
struct BodyBuffer<'a> {
    caller: &'a Caller,
    max: usize,
    bytes: Vec<u8>,
    /// Length when the body last counted as having advanced.
    advanced_at: usize,
}

impl BodyBuffer<'_> {
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let len = self.bytes.len() + data.len();
        if len > self.max {
            return Err(BodyError::TooLarge);
        }
        if len > self.bytes.capacity() {
            let capacity = (len.next_power_of_two()).max(MIN_BUFFER_BYTES).min(self.max);
            self.caller.hold_body(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        if len - self.advanced_at >= PROGRESS_BYTES {
            self.advanced_at = len;
            self.caller.body_advanced();
        }
        Ok(())
    }

    fn finish(mut self) -> Result<Bytes, BodyError> {
        if self.bytes.capacity() - self.bytes.len() > MAX_UNUSED_BYTES {
            self.bytes.shrink_to_fit();
            self.caller.hold_body(self.bytes.capacity())?;
        }
        Ok(Bytes::from(self.bytes))
    }
}
