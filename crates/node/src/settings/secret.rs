//! The secret that daemons and operators share.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// The secret of the peers' and operators' ports. Never printed.
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
    /// Wraps a secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Arc::from(secret))
    }

    /// True if `given` is the secret. Takes the same time for any text of the
    /// right length.
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(given).into()
    }

    /// The text to send in the secret's header.
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
