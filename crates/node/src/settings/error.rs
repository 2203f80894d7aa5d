//! Errors of a settings file.

use std::{fmt, path::PathBuf};

use quick_error::quick_error;

/// Location of an error. Displayed as `file:line: [section] key`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The settings file.
    pub file: PathBuf,
    /// Line number, starting at 1.
    pub line: usize,
    /// Section and key; empty if the error is not about a key.
    pub key: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)?;
        if self.key.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.key)
    }
}

quick_error! {
    /// An error in a settings file, displayed as one line.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SettingsError {
        /// The settings file can't be read.
        Unreadable(file: PathBuf, cause: String) {
            display("{}: {cause}; expected a readable file after --config", file.display())
        }
        /// The text is not INI.
        Syntax(place: Place, cause: String) {
            display("{place}: {cause}; expected [section] or key = value")
        }
        /// The section or key does not exist.
        UnknownKey(place: Place, expected: String) {
            display("{place}: unknown; expected {expected}")
        }
        /// The section or key occurs twice.
        Duplicate(place: Place) {
            display("{place}: given twice; expected it once")
        }
        /// A required key is missing.
        Missing(place: Place, expected: String) {
            display("{place}: missing; expected {expected}")
        }
        /// The value is invalid.
        BadValue(place: Place, value: String, expected: String) {
            display("{place}: bad value {value:?}; expected {expected}")
        }
    }
}
