//! What may crash runners.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::PromptPart;

/// Something in requests that may crash the runners that respond to them.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::{PromptPart, Suspect};
///
/// let part = Suspect::Part(PromptPart(0x5c1e));
/// assert_eq!(part.to_string(), "5c1e");
/// assert_eq!("5c1e".parse(), Ok(part));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(untagged)]
pub enum Suspect {
    /// A part of prompts.
    Part(PromptPart),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
        }
    }
}

/// A text that names no suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidSuspect;

impl fmt::Display for InvalidSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a prompt part has up to 16 hexadecimal digits")
    }
}

impl std::error::Error for InvalidSuspect {}

impl FromStr for Suspect {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Self, InvalidSuspect> {
        let part = u64::from_str_radix(text, 16).map_err(|_| InvalidSuspect)?;
        Ok(Self::Part(PromptPart(part)))
    }
}
