//! Faults of a settings file.

use std::{fmt, path::PathBuf};

use quick_error::quick_error;

/// Where a fault stands. Prints as `file:line: [section] key`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The settings file.
    pub file: PathBuf,
    /// Line, from 1.
    pub line: usize,
    /// Section and key; empty if the fault is not about one.
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
    /// A fault of a settings file, printed as one line.
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
        /// The key stands twice.
        Duplicate(place: Place) {
            display("{place}: given twice; expected it once")
        }
        /// A key without default is absent.
        Missing(place: Place, expected: String) {
            display("{place}: missing; expected {expected}")
        }
        /// The value can't be used.
        BadValue(place: Place, value: String, expected: String) {
            display("{place}: bad value {value:?}; expected {expected}")
        }
    }
}
