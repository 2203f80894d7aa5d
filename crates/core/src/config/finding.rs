//! Validation findings.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration can't be accepted.
    Error,
    /// The configuration is accepted but probably not what was intended.
    Warning,
}

/// A fault of a configuration: where it is, what is wrong and how to fix it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Severity of the finding.
    pub severity: Severity,
    /// The element, and the key within it if the fault concerns a single one.
    pub place: String,
    /// What is wrong and how to fix it.
    pub text: String,
}

impl Finding {
    /// Creates a finding that prevents acceptance.
    pub fn error<P, T>(place: P, text: T) -> Self
    where
        P: Into<String>,
        T: Into<String>,
    {
        Self { severity: Severity::Error, place: place.into(), text: text.into() }
    }

    /// Creates a finding that does not prevent acceptance.
    pub fn warning<P, T>(place: P, text: T) -> Self
    where
        P: Into<String>,
        T: Into<String>,
    {
        Self { severity: Severity::Warning, place: place.into(), text: text.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}
