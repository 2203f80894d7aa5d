//! Check that the head of a response is one head.
//!
//! Bytes that a runner sends without a request, such as a part of another response, may come
//! before a response on a connection that is used again. A parser then reads one head made of
//! both: its id is that of the response, other lines are not. Wherever the part ends, the
//! status line of the response follows inside the head.

use std::io;

/// Start of a status line, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Bytes of a status line from its start to the end of the status.
const STATUS_LINE_BYTES: usize = STATUS_LINE_START.len() + "1 200".len();

/// First digit of the status, from the start of the status line.
const STATUS_OFFSET: usize = STATUS_LINE_START.len() + "1 ".len();

/// The part of a response's head that was received.
#[derive(Debug, Default)]
pub(super) struct ResponseHead {
    bytes: Vec<u8>,
    is_complete: bool,
}

impl ResponseHead {
    /// Adds received bytes. Fails if they end a head that holds a second status line.
    pub(super) fn receive(&mut self, data: &[u8]) -> io::Result<()> {
        if self.is_complete {
            return Ok(());
        }
        self.bytes.extend_from_slice(data);
        loop {
            let empty = self.bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            self.bytes.drain(..empty);
            let Some(end) = head_end(&self.bytes) else { return Ok(()) };
            let head = &self.bytes[..end];
            if head.windows(STATUS_LINE_BYTES).skip(1).any(is_status_line) {
                return Err(io::Error::other("the response's head is made of two"));
            }
            // A final response follows an interim one.
            if head.get(STATUS_OFFSET) != Some(&b'1') {
                self.is_complete = true;
                self.bytes = Vec::new();
                return Ok(());
            }
            self.bytes.drain(..end);
        }
    }
}

/// Returns the number of bytes up to the empty line that ends a head.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let ends_line = |&(_, byte): &(usize, &u8)| *byte == b'\n';
    let mut line_ends = bytes.iter().enumerate().filter(ends_line).map(|(at, _)| at + 1);
    line_ends.find(|at| bytes[*at..].starts_with(b"\n") || bytes[*at..].starts_with(b"\r\n"))
}

fn is_status_line(window: &[u8]) -> bool {
    window.strip_prefix(STATUS_LINE_START).is_some_and(|rest| {
        rest[0].is_ascii_digit() && rest[1] == b' ' && rest[2..].iter().all(u8::is_ascii_digit)
    })
}
