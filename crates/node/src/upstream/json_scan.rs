//! Finds the end of a JSON text without keeping it.

/// Follows the nesting of one JSON object or array.
///
/// The scan does not check the syntax. It only tells whether the outermost
/// bracket has been closed, which a text that was cut off never shows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JsonScan {
    depth: u32,
    opened: bool,
    in_string: bool,
    escaped: bool,
}

impl JsonScan {
    /// Takes the next bytes of the text.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.step(byte);
        }
    }

    /// True if the outermost bracket has been opened and closed.
    pub(crate) fn is_whole(self) -> bool {
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
