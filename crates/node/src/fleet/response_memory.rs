//! Memory for parts of responses that are held back until they are complete.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use quick_error::quick_error;

/// Bytes that each response may hold back at any time.
const UNSHARED_BYTES: usize = 64 << 10;

/// Bytes beyond these that all responses of a host may hold back together.
const SHARED_BYTES: usize = 24 << 20;

/// Maximum size of a response that is not streamed.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Maximum size of one event of a stream.
pub(super) const MAX_EVENT_BYTES: usize = 1 << 20;

quick_error! {
    /// A response that holds back too many bytes.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    #[allow(unreachable_pub, reason = "the macro knows no narrower visibility")]
    pub enum MemoryError {
        /// The response, or one event of it, is too large.
        TooLarge(max: usize) {
            display("more than {max} bytes without the end of the response or event")
        }
        /// All responses together hold back too much.
        Exhausted {
            display("the memory for responses of this host is exhausted")
        }
    }
}

/// The memory that the responses of a host share.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    free: AtomicUsize,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self { free: AtomicUsize::new(SHARED_BYTES) }
    }
}

impl ResponseMemory {
    /// Starts to account for one response, or one event at a time, of at most `max`
    /// bytes.
    pub(super) fn reserve(self: &Arc<Self>, max: usize) -> HeldBytes {
        HeldBytes { memory: self.clone(), max, shared: 0 }
    }
}

/// The bytes that one response holds back. Released on drop.
#[derive(Debug)]
pub(super) struct HeldBytes {
    memory: Arc<ResponseMemory>,
    max: usize,
    /// Part of the shared memory.
    shared: usize,
}

impl HeldBytes {
    /// Sets the number of bytes.
    pub(super) fn set(&mut self, bytes: usize) -> Result<(), MemoryError> {
        if bytes > self.max {
            return Err(MemoryError::TooLarge(self.max));
        }
        let shared = bytes.saturating_sub(UNSHARED_BYTES);
        if shared == self.shared {
            return Ok(());
        }
        let replace = |free: usize| (free + self.shared).checked_sub(shared);
        let order = Ordering::Relaxed;
        let replaced = self.memory.free.fetch_update(order, order, replace);
        replaced.map_err(|_| MemoryError::Exhausted)?;
        self.shared = shared;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.shared, Ordering::Relaxed);
    }
}
