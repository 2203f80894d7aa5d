//! Parts of prompts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one part of a prompt that several requests may share, wherever it stands
/// in the prompt.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::PromptPart;
///
/// assert_eq!(PromptPart(0x5c1e).to_string(), "5c1e");
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

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
