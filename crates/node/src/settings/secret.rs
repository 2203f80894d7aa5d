//! Shared secret of daemons and operators.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// Shared secret of the peers' and operators' ports. `Debug` does not print it.
///
/// # Examples
///
/// ```
/// use comfreyway_node::settings::Secret;
///
/// let secret = Secret::new("a long random text");
/// assert!(secret.matches(b"a long random text"));
/// assert!(!secret.matches(b"a guess"));
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// ```
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Arc::from(secret))
    }

    /// Compares `given` with the secret. The comparison takes the same time for
    /// all values of the same length.
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(given).into()
    }

    /// Returns the text to send in the secret's header.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
