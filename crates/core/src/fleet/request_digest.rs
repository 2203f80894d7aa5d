//! Identity of what a request asks for, whoever sends it again.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;

/// Separates digests of requests from other uses of the hash function.
const CONTEXT: &str = "comfreyway 2026-12 request digest v1";

/// Identifies requests that ask for the same: those of one workspace with the same method,
/// host, target and body. Their ids, deadlines and other headers may differ, and so may
/// the framing of their bodies. All hosts derive the same digest.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::{RequestContent, RequestDigest};
///
/// let content = RequestContent {
///     workspace: None,
///     method: "POST",
///     host: "desk.example",
///     target: "/lookup/7?full=1",
///     body: b"question",
/// };
/// let digest = RequestDigest::new(&content);
/// assert_ne!(RequestDigest::new(&RequestContent { target: "/lookup/7", ..content }), digest);
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest(u64, u64);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The caller's workspace; `None` for a request without a key.
    pub workspace: Option<&'a WorkspaceName>,
    /// Method.
    pub method: &'a str,
    /// Host that the caller named, in lower case and without a port.
    pub host: &'a str,
    /// Path and query, byte by byte.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestDigest {
    /// Computes the digest of a request.
    #[must_use]
    pub fn new(content: &RequestContent<'_>) -> Self {
        let RequestContent { workspace, method, host, target, body } = content;
        let workspace = workspace.map_or("", WorkspaceName::as_str);
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for field in [workspace, method, host, target] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        let hash = hasher.finalize();
        let (words, _) = hash.as_bytes().as_chunks::<8>();
        Self(u64::from_be_bytes(words[0]), u64::from_be_bytes(words[1]))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// A text that is no digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request digest has 32 hexadecimal digits")
    }
}

impl std::error::Error for InvalidDigest {}

impl FromStr for RequestDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let word = |range| text.get(range).and_then(|word| u64::from_str_radix(word, 16).ok());
        match (text.len(), word(0..16), word(16..32)) {
            (32, Some(high), Some(low)) => Ok(Self(high, low)),
            _ => Err(InvalidDigest),
        }
    }
}
