//! Finds the end of a JSON text without buffering it.

/// Tracks the nesting of one JSON object or array.
///
/// The scan does not validate the syntax. It only determines whether the
/// outermost bracket has been closed, which never happens in a truncated text.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JsonScan {
    depth: u32,
    opened: bool,
    in_string: bool,
    escaped: bool,
}

impl JsonScan {
    /// Processes the next bytes of the text.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.step(byte);
        }
    }

    /// Returns true if the text ends inside a bracket or string.
    pub(crate) fn is_open(self) -> bool {
        self.depth > 0 || self.in_string
    }

    /// Returns true if the outermost bracket was opened and closed.
    pub(crate) fn is_complete(self) -> bool {
        self.opened && self.depth == 0 && !self.in_string
    }

    fn step(&mut self, byte: u8) {
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => {
                self.opened = true;
                self.depth += 1;
            }
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
