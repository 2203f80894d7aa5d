//! A recording on this host or another.

use comfreyway_proto::result::ResultEnd;

use super::{RecordedHead, RecordedItem, RecordingReader, RemoteReader};

/// A recording on this host or another.
#[derive(Debug)]
pub(crate) enum RecordingSource {
    /// On this host.
    Local(RecordingReader),
    /// On another host.
    Remote(Box<RemoteReader>),
}

impl RecordingSource {
    /// Waits for the head.
    ///
    /// # Errors
    ///
    /// Fails with the end if the recording ended without a head.
    pub(crate) async fn head(&mut self) -> Result<RecordedHead, ResultEnd> {
        match self {
            Self::Local(reader) => reader.head().await,
            Self::Remote(reader) => reader.head().await,
        }
    }

    /// Waits for the next chunk of the body or the end.
    pub(crate) async fn next(&mut self) -> RecordedItem {
        match self {
            Self::Local(reader) => reader.next().await,
            Self::Remote(reader) => reader.next().await,
        }
    }
}
