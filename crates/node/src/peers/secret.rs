//! The secret that peers share.

use std::fmt;

use subtle::ConstantTimeEq;

/// The secret that peers share. Never printed.
#[derive(Clone)]
pub struct PeerSecret(Vec<u8>);

impl PeerSecret {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Compares in a time that does not depend on the first difference.
    #[must_use]
    pub fn matches(&self, other: &[u8]) -> bool {
        self.0.ct_eq(other).into()
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}
