//! Answers kept for repeats.
//!
//! A request with an identity has a [`Recording`]: its answer as it arrives, or
//! the reason why there is none. A repeat reads the recording while the first
//! request waits, runs or is finished. [`ResultStore`] bounds what is kept by
//! time and bytes; a recording that had to go leaves nothing behind, and a
//! repeat is then told that the result has expired. A repeat at another host
//! reads the recording over the peers' port.

mod feed;
mod reader;
mod recording;
mod remote;
mod source;
mod store;

pub(crate) use self::{
    feed::{feed, send_end},
    reader::{Recorded, RecordingReader},
    recording::{RecordedHead, Recording},
    remote::RemoteReader,
    source::AnswerSource,
    store::ResultStore,
};
