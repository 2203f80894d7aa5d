//! Transfer of recorded responses between daemons.
//!
//! If a caller repeats a request that another host holds, the caller's host
//! opens a WebSocket to `/results/ID` at the holder's peer address and presents
//! the shared secret. The holder sends one [`ResultFrame`] per message: the
//! head, the chunks of the body as they arrive, and the end. Without an end,
//! the response is incomplete.

mod byte_string;
mod frame;

pub use self::{
    byte_string::ByteString,
    frame::{
        RESULTS_PATH_PREFIX, ResultCodecError, ResultEnd, ResultFrame, ResultHead, ResultHeader,
    },
};
