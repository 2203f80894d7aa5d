//! Identifier of a change.

use std::{fmt, str::FromStr};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error parsing a change identifier.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum ChangeIdError {
        /// The text does not have the form `BASE-NONCE`.
        Malformed {
            display("a change identifier has the form BASE-NONCE, such as 12-0123456789abcdef")
        }
    }
}

/// Identifier of a change: its base version and a random number.
///
/// The base is the version that the author read. It is part of the identifier
/// so that a retry has the same base. A change is accepted only if the history
/// covers every version after its base, so a retry always finds the entry of
/// the first attempt there. A change is therefore never applied twice, however
/// short the history is.
///
/// # Examples
///
/// ```
/// use comfreyway_core::config::ChangeId;
///
/// let id = ChangeId::new(12, 0xabcdef);
/// assert_eq!(id.to_string(), "12-0000000000abcdef");
/// assert_eq!("12-0000000000abcdef".parse(), Ok(id));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId {
    base: u64,
    nonce: u64,
}

impl ChangeId {
    /// Creates an identifier from the base version and a random number.
    #[must_use]
    pub fn new(base: u64, nonce: u64) -> Self {
        Self { base, nonce }
    }

    /// Returns the base, the version that the author read.
    #[must_use]
    pub fn base(self) -> u64 {
        self.base
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.base, self.nonce)
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.to_string()
    }
}

impl FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(s: &str) -> Result<Self, ChangeIdError> {
        let (base, nonce) = s.split_once('-').ok_or(ChangeIdError::Malformed)?;
        let base = base.parse().map_err(|_| ChangeIdError::Malformed)?;
        let nonce = u64::from_str_radix(nonce, 16).map_err(|_| ChangeIdError::Malformed)?;
        let id = Self { base, nonce };
        if id.to_string() == s { Ok(id) } else { Err(ChangeIdError::Malformed) }
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(s: String) -> Result<Self, ChangeIdError> {
        s.parse()
    }
}
