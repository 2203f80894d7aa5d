//! Recorded responses for repeats.
//!
//! A request with an idempotency key has a [`Recording`]: its response as it
//! arrives, or the reason why there is none. A repeat reads the recording while
//! the first request waits or runs, and after it has ended. [`ResultStore`]
//! limits recordings by time and bytes; if a recording was evicted, the response
//! to a repeat says that the result has expired. A repeat at another host reads
//! the recording over the peers' port.

mod reader;
mod recording;
mod remote;
mod send;
mod source;
mod store;

pub(crate) use self::{
    reader::{RecordedItem, RecordingReader},
    recording::{RecordedHead, Recording},
    remote::RemoteReader,
    send::{send_end, send_recording},
    source::RecordingSource,
    store::ResultStore,
};
