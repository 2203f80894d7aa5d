//! Buffers of bodies that are being read.

use bytes::Bytes;
use comfreyway_core::fleet::CallerMemoryError;

use super::{Caller, PROGRESS_BYTES};

/// Minimum size of the buffer of a body.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Unused bytes of a buffer that are given back once the body is complete.
const MAX_UNUSED_BYTES: usize = 64 << 10;

/// Reason for not having read a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
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

/// The part of a body that was read. Frames are copied: a small one would keep the whole
/// buffer that it was received in.
pub(crate) struct BodyBuffer<'a> {
    caller: &'a Caller,
    max: usize,
    bytes: Vec<u8>,
    /// Length when the body last counted as having advanced.
    advanced_at: usize,
}

impl<'a> BodyBuffer<'a> {
    /// Creates a buffer for a body of at most `max` bytes.
    pub(crate) fn new(caller: &'a Caller, max: usize) -> Self {
        Self { caller, max, bytes: Vec::new(), advanced_at: 0 }
    }

    /// Adds a frame.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
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

    /// Returns the complete body. The request can't be evicted any more.
    pub(crate) fn finish(mut self) -> Result<Bytes, BodyError> {
        if self.bytes.capacity() - self.bytes.len() > MAX_UNUSED_BYTES {
            self.bytes.shrink_to_fit();
            self.caller.hold_body(self.bytes.capacity())?;
        }
        self.caller.end_body()?;
        Ok(Bytes::from(self.bytes))
    }
}
