//! Answers kept for repeats.
//!
//! A request with an identity has a [`Recording`]: its answer as it arrives, or
//! the reason why there is none. A repeat reads the recording while the first
//! request waits, runs or is finished. [`ResultStore`] bounds what is kept by
//! time and bytes; a recording that had to go leaves nothing behind, and a
//! repeat is then told that the result has expired. A repeat at another host
//! reads the recording over the peers' port.

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
