//! Parts of prompts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Separates digests of IDs from other uses of the hash function.
const CONTEXT: &str = "comfreyway 2026-12 prompt part v1";

/// Identifies one part of a prompt that several requests may share, wherever it stands
/// in the prompt.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::PromptPart;
///
/// assert_eq!(PromptPart(0x5c1e).to_string(), "5c1e");
/// assert_eq!(PromptPart::from_id("5C1E"), PromptPart(0x5c1e));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Returns the part with this ID, a hexadecimal number of any length. A longer one than
    /// fits, or a text that is no number, is identified by a digest of all of it.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::PromptPart;
    ///
    /// let long = PromptPart::from_id("5c1e07a291bd3f06e4402b7d00000001");
    /// assert_ne!(PromptPart::from_id("5c1e07a291bd3f06e4402b7d00000002"), long);
    /// assert_ne!(PromptPart::from_id("e4402b7d00000001"), long);
    /// assert_eq!(PromptPart::from_id("005C1E07A291BD3F06E4402B7D00000001"), long);
    /// ```
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        let id = id.trim();
        let is_number = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_number {
            return Self::from_digest(id);
        }
        let digits = id.trim_start_matches('0');
        if digits.is_empty() {
            return Self(0);
        }
        match u64::from_str_radix(digits, 16) {
            Ok(number) => Self(number),
            Err(_) => Self::from_digest(&digits.to_ascii_lowercase()),
        }
    }

    fn from_digest(text: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let hash = hasher.update(text.as_bytes()).finalize();
        let (words, _) = hash.as_bytes().as_chunks::<8>();
        Self(u64::from_be_bytes(words[0]))
    }
}

/// A part of a prompt with its length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizedPart {
    /// The part.
    pub part: PromptPart,
    /// Its tokens.
    pub tokens: u32,
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
