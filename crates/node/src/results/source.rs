//! A recording, wherever it is held.

use comfreyway_proto::result::ResultEnd;

use super::{RecordedHead, RecordedItem, RecordingReader, RemoteReader};

/// A recording, wherever it is held.
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
    /// Fails with the end if there is no head.
    pub(crate) async fn head(&mut self) -> Result<RecordedHead, ResultEnd> {
        match self {
            Self::Local(reader) => reader.head().await,
            Self::Remote(reader) => reader.head().await,
        }
    }

    /// Waits for the next piece of the body or the end.
    pub(crate) async fn next(&mut self) -> RecordedItem {
        match self {
            Self::Local(reader) => reader.next().await,
            Self::Remote(reader) => reader.next().await,
        }
    }
}
