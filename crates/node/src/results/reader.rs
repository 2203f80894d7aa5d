//! Reads a recording from its start.

use std::sync::Arc;

use bytes::Bytes;
use comfreyway_proto::result::ResultEnd;

use super::{RecordedHead, Recording, recording::NextItem};

/// The next item of a recording.
#[derive(Debug)]
pub(crate) enum RecordedItem {
    /// The next chunk of the body.
    Chunk(Bytes),
    /// The end.
    End(ResultEnd),
}

/// Reads a recording from its start while it is written.
#[derive(Debug)]
pub(crate) struct RecordingReader {
    recording: Arc<Recording>,
    index: usize,
}

impl RecordingReader {
    /// Creates a reader at the start of `recording`.
    pub(crate) fn new(recording: Arc<Recording>) -> Self {
        Self { recording, index: 0 }
    }

    /// Waits for the head.
    ///
    /// # Errors
    ///
    /// Fails with the end if the recording ended without a head.
    pub(crate) async fn head(&self) -> Result<RecordedHead, ResultEnd> {
        loop {
            let changed = self.recording.changed().notified();
            if let Some(head) = self.recording.head() {
                return Ok(head);
            }
            if let Some(end) = self.recording.end() {
                return Err(end);
            }
            changed.await;
        }
    }

    /// Waits for the next chunk of the body or the end.
    pub(crate) async fn next(&mut self) -> RecordedItem {
        let recording = Arc::clone(&self.recording);
        loop {
            let changed = recording.changed().notified();
            match recording.next(self.index) {
                NextItem::Chunk(chunk) => {
                    self.index += 1;
                    return RecordedItem::Chunk(chunk);
                }
                NextItem::End(end) => return RecordedItem::End(end),
                NextItem::Pending => changed.await,
            }
        }
    }
}
