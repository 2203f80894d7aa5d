//! One fault of a configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Weight of a finding.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration can't be accepted.
    Error,
    /// The configuration is accepted, but probably not what was meant.
    Warning,
}

/// One fault of a configuration, with its place and its mend.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Weight of the finding.
    pub severity: Severity,
    /// The element and the key.
    pub place: String,
    /// What is wrong and how to mend it.
    pub text: String,
}

impl Finding {
    /// A finding that stands in the way of acceptance.
    pub fn error<P, T>(place: P, text: T) -> Self
    where
        P: Into<String>,
        T: Into<String>,
    {
        Self { severity: Severity::Error, place: place.into(), text: text.into() }
    }

    /// A finding for the operator's attention.
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
