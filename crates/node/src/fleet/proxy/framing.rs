//! How a runner marks the end of a response body.

use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::TRANSFER_ENCODING,
};

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// Declared length, or no body.
    Length,
    /// Last chunk.
    Chunked,
    /// End of the connection, which does not prove that the body is complete.
    Connection,
}

impl Framing {
    /// Determines the framing of a response that was not read yet.
    pub(super) fn new(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else {
            Self::Connection
        }
    }

    /// Returns the value of the log field `framing`.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
