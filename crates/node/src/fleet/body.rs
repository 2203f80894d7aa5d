//! Reads the bodies of requests into memory that the host can spare.

use bytes::Bytes;
use comfreyway_core::fleet::CallerMemoryError;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::caller_memory::{BodyBuffer, BodyError, Caller};

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
    let mut buf = BodyBuffer::new(caller, exact.unwrap_or(max));
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
    buf.finish()
}
