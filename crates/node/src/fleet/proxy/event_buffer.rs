//! Splits a stream into complete events.

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Holds back the bytes of an event until it is complete, so that an
/// interrupted stream can resume after an exact event.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buf: BytesMut,
    /// Bytes that were already searched for an end.
    searched: usize,
    last_id: Option<u64>,
    /// True if data was forwarded after the event with the last id.
    unnumbered_data: bool,
    events: u32,
    /// Events up to this id were forwarded from an earlier runner.
    skip_to: Option<u64>,
}

impl EventBuffer {
    /// Returns the id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events so far.
    pub(super) fn events(&self) -> u32 {
        self.events
    }

    /// Returns true if the stream can resume exactly after the last event.
    pub(super) fn can_resume(&self) -> bool {
        !self.unnumbered_data
    }

    /// Prepares for another runner's stream, which resumes after the last
    /// complete event.
    pub(super) fn restart(&mut self) {
        self.buf.clear();
        self.searched = 0;
        self.skip_to = self.last_id;
    }

    /// Adds bytes and returns the events that are complete now.
    pub(super) fn push(&mut self, data: &[u8]) -> Bytes {
        self.buf.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buf.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            if id.is_some() && id <= self.skip_to {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.unnumbered_data = id.is_none() && (self.unnumbered_data || has_data(&event));
            self.events += 1;
            if complete.is_empty() {
                complete = event;
            } else {
                complete.unsplit(event);
            }
        }
        complete.freeze()
    }

    /// Returns the number of bytes that are held back.
    pub(super) fn held_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns true if the last event is incomplete. Empty lines and complete
    /// comment lines belong to no event.
    pub(super) fn is_inside_event(&self) -> bool {
        let mut lines = self.buf.split_inclusive(is_line_end);
        lines.any(|line| match line {
            [b':', .., last] => !is_line_end(last),
            _ => !line.iter().all(is_line_end),
        })
    }

    /// Returns the bytes left at the end of the stream.
    pub(super) fn take_remaining(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }

    /// Returns the length of the first event, including the empty line after
    /// it.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.searched.saturating_sub(2);
        while at < self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        self.searched = self.buf.len();
        None
    }
}

fn has_data(event: &[u8]) -> bool {
    event.split(is_line_end).any(|line| line.starts_with(b"data"))
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(is_line_end);
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
