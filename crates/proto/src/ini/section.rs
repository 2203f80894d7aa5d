//! A section of a configuration file and its keys.

use std::{error::Error, fmt, str::FromStr};

use ini::Properties;

use super::IniError;

/// The expected form of a value that failed to parse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expected(pub(super) &'static str);

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.0)
    }
}

impl Error for Expected {}

/// A section and its line in the file.
pub(super) struct Section<'a> {
    pub(super) name: &'a str,
    pub(super) line: usize,
    pub(super) properties: &'a Properties,
}

impl Section<'_> {
    /// Checks that each key is one of `known` and occurs once.
    pub(super) fn check_keys(&self, known: &[&str]) -> Result<(), IniError> {
        for (key, _) in self.properties {
            if !known.contains(&key) || self.properties.get_all(key).count() > 1 {
                let expected = format!("each at most once: {}", known.join(", "));
                return Err(IniError::InvalidKey(
                    self.line,
                    self.name.into(),
                    key.into(),
                    expected,
                ));
            }
        }
        Ok(())
    }

    /// Parses the value of an optional key.
    pub(super) fn optional<T>(&self, key: &str, expected: &str) -> Result<Option<T>, IniError>
    where
        T: FromStr,
    {
        let Some(text) = self.properties.get(key).map(str::trim) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.invalid_value(key, text, expected))
    }

    /// Parses the value of a required key.
    pub(super) fn required<T>(&self, key: &str, expected: &str) -> Result<T, IniError>
    where
        T: FromStr,
    {
        self.optional(key, expected)?.ok_or_else(|| self.missing_key(key, expected))
    }

    pub(super) fn missing_key(&self, key: &str, expected: &str) -> IniError {
        IniError::MissingKey(self.line, self.name.into(), key.into(), expected.into())
    }

    fn invalid_value(&self, key: &str, value: &str, expected: &str) -> IniError {
        let (section, key) = (self.name.into(), key.into());
        IniError::InvalidValue(self.line, section, key, value.into(), expected.into())
    }
}
