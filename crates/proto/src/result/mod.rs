//! Kept answers on their way between daemons.
//!
//! A host whose caller repeats a request that another host holds opens a
//! WebSocket to `/results/ID` at the holder's peer address, under the secret.
//! The holder sends one [`ResultFrame`] per message: the head, the pieces of the
//! body as they arrive, and the end. Without an end the answer is not whole.

mod byte_string;
mod frame;

pub use self::{
    byte_string::ByteString,
    frame::{
        RESULTS_PATH_PREFIX, ResultCodecError, ResultEnd, ResultFrame, ResultHead, ResultHeader,
    },
};
