//! Scans a stream of server-sent events without buffering it.

use bytes::BytesMut;

/// Longest line that is parsed, in bytes. A longer one only counts as an event.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Data of the event that ends a complete stream.
const END_MARKER: &[u8] = b"[DONE]";

/// Scans a stream of server-sent events: counts the events and records the id
/// of the last one, the end marker and the engine's token usage.
#[derive(Debug, Default)]
pub(crate) struct EventScan {
    line: BytesMut,
    line_too_long: bool,
    has_data: bool,
    end_marker_read: bool,
    complete: bool,
    events: u32,
    id: Option<u64>,
    last_id: u64,
    usage: Option<Vec<u8>>,
    /// Bytes received after the last complete event.
    partial_bytes: usize,
}

impl EventScan {
    /// Processes the next bytes of the stream.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (now, rest) = bytes.split_at(end + 1);
            self.partial_bytes += now.len();
            if self.line.is_empty() && !self.line_too_long {
                self.end_line(&now[..end]);
            } else {
                self.buffer_line(&now[..end]);
                let line = self.line.split();
                self.end_line(&line);
                self.line = line;
                self.line.clear();
            }
            bytes = rest;
        }
        self.partial_bytes += bytes.len();
        self.buffer_line(bytes);
    }

    /// Returns true if the end marker has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the number of events with data, without the end marker.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Returns the id of the last complete event, or 0.
    pub(crate) fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Returns the number of bytes received after the last complete event.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// Returns the data of the last event with the engine's token usage.
    pub(crate) fn usage(&self) -> Option<&[u8]> {
        self.usage.as_deref()
    }

    fn buffer_line(&mut self, bytes: &[u8]) {
        if self.line.len() + bytes.len() > MAX_LINE_BYTES {
            self.line_too_long = true;
            return;
        }
        self.line.extend_from_slice(bytes);
    }

    fn end_line(&mut self, line: &[u8]) {
        let too_long = std::mem::take(&mut self.line_too_long);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() && !too_long {
            return self.end_event();
        }
        if let Some(data) = field(line, b"data:") {
            self.has_data = true;
            self.end_marker_read = data == END_MARKER && !too_long;
            if contains(data, b"\"usage\"") && !too_long {
                self.usage = Some(data.to_vec());
            }
        } else if let Some(id) = field(line, b"id:") {
            self.id = std::str::from_utf8(id).ok().and_then(|id| id.parse().ok());
        }
    }

    fn end_event(&mut self) {
        self.partial_bytes = 0;
        self.last_id = self.id.take().unwrap_or(self.last_id);
        if !std::mem::take(&mut self.has_data) {
            return;
        }
        if std::mem::take(&mut self.end_marker_read) {
            self.complete = true;
        } else {
            self.events = self.events.saturating_add(1);
        }
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    line.strip_prefix(name).map(<[u8]>::trim_ascii)
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack.windows(needle.len()).any(|window| window == needle)
}
