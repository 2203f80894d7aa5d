//! Memory for parts of responses that are held back until they are complete.

use std::rc::Rc;

use quick_error::quick_error;

use crate::caller_memory::Caller;

/// Bytes that each response may hold back at any time.
const UNSHARED_BYTES: usize = 64 << 10;

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

/// The bytes that one response holds back. Released on drop.
#[derive(Debug)]
pub(super) struct HeldBytes {
    caller: Rc<Caller>,
    max: usize,
    /// Bytes that the account of callers knows of.
    accounted: usize,
}

impl HeldBytes {
    /// Starts to account for one response, or one event at a time, of at most `max`
    /// bytes.
    pub(super) fn new(caller: Rc<Caller>, max: usize) -> Self {
        Self { caller, max, accounted: 0 }
    }

    /// Sets the number of bytes.
    pub(super) fn set(&mut self, bytes: usize) -> Result<(), MemoryError> {
        if bytes > self.max {
            return Err(MemoryError::TooLarge(self.max));
        }
        let accounted = if bytes > UNSHARED_BYTES { bytes } else { 0 };
        if accounted != self.accounted {
            self.caller.hold_response(accounted).map_err(|_| MemoryError::Exhausted)?;
            self.accounted = accounted;
        }
        Ok(())
    }

    /// Leaves the bytes accounted for until the request has ended: a complete response waits
    /// for its caller.
    pub(super) fn keep(mut self) {
        if std::mem::take(&mut self.accounted) > 0 {
            self.caller.begin_delivery();
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.accounted > 0
            && let Err(e) = self.caller.hold_response(0)
        {
            log::debug!("the caller of a response gave way: {e:?}");
        }
    }
}
