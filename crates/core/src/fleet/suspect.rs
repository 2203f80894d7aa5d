//! What may crash runners.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{PromptPart, RequestDigest};

/// Prefix that tells a request from a part in texts.
const REQUEST_PREFIX: &str = "request-";

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
/// let request = Suspect::Request("d746593e2ac628579abd2bd13a6d3776".parse().unwrap());
/// assert_eq!(request.to_string(), "request-d746593e2ac628579abd2bd13a6d3776");
/// assert_eq!(request.to_string().parse(), Ok(request));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(untagged)]
pub enum Suspect {
    /// A part of prompts.
    Part(PromptPart),
    /// A whole request, which its callers repeat.
    Request(RequestDigest),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest}"),
        }
    }
}

/// A text that names no suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidSuspect;

impl fmt::Display for InvalidSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it names neither a prompt part nor a request")
    }
}

impl std::error::Error for InvalidSuspect {}

impl FromStr for Suspect {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Self, InvalidSuspect> {
        if let Some(digest) = text.strip_prefix(REQUEST_PREFIX) {
            return digest.parse().map(Self::Request).map_err(|_| InvalidSuspect);
        }
        let part = u64::from_str_radix(text, 16).map_err(|_| InvalidSuspect)?;
        Ok(Self::Part(PromptPart(part)))
    }
}
