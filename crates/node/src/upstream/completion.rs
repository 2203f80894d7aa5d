//! Checks that a response body is complete.
//!
//! The end of the connection alone never proves that a body is complete. An
//! engine's stream needs its end marker, a body of declared length its full
//! length, and a chunked body its last chunk or, if it is JSON, the end of the
//! JSON text. The last chunk is known to have arrived because
//! [`super::strict_stream::StrictStream`] turns every other end of a chunked
//! body into an error.

use actix_web::http::{
    StatusCode,
    header::{self, HeaderMap},
};

use super::{
    EventScan,
    json_scan::JsonScan,
    media_type::{is_json, media_type},
};

/// Decides when a response body is complete.
#[derive(Debug)]
pub(crate) enum CompletionCheck {
    /// The response has no body.
    Empty,
    /// Bytes left of the declared length.
    Length(u64),
    /// The end marker of an engine's event stream.
    EndMarker(Box<EventScan>),
    /// The end of the JSON text, or the last chunk.
    Json(JsonScan, LastChunk),
    /// The last chunk.
    LastChunk(LastChunk),
}

/// State of the last chunk of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LastChunk {
    /// The body is not chunked. It ends with its connection, which does not
    /// prove that it is complete.
    None,
    /// Not received yet.
    Pending,
    /// Received.
    Received,
}

impl LastChunk {
    fn new(headers: &HeaderMap) -> Self {
        let value = headers.get(header::TRANSFER_ENCODING).and_then(|value| value.to_str().ok());
        let last = value.and_then(|codings| codings.rsplit(',').next());
        match last {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Pending,
            _ => Self::None,
        }
    }

    /// Handles the end of the body stream without an error.
    fn end(&mut self) {
        if *self == Self::Pending {
            *self = Self::Received;
        }
    }
}

/// How the length of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// No body.
    Empty,
    /// Declared length in bytes.
    Length(u64),
    /// No declared length.
    Undeclared,
}

impl Framing {
    /// Determines the framing from the head of a response.
    pub(crate) fn new(is_head: bool, status: StatusCode, headers: &HeaderMap) -> Self {
        if is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::Empty;
        }
        let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => Self::Length(length),
            None => Self::Undeclared,
        }
    }
}

impl CompletionCheck {
    /// Creates the check for a response with this head. An engine's event
    /// stream needs its end marker whatever its framing.
    pub(crate) fn new(is_engine: bool, framing: Framing, headers: &HeaderMap) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let media_type = media_type(content_type.and_then(|value| value.to_str().ok()));
        match framing {
            Framing::Empty => Self::Empty,
            _ if is_engine && media_type == "text/event-stream" => Self::EndMarker(Box::default()),
            Framing::Length(length) => Self::Length(length),
            Framing::Undeclared if is_json(&media_type) => {
                Self::Json(JsonScan::default(), LastChunk::new(headers))
            }
            Framing::Undeclared => Self::LastChunk(LastChunk::new(headers)),
        }
    }

    /// Processes the next bytes of the body.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        match self {
            Self::Length(left) => *left = left.saturating_sub(bytes.len() as u64),
            Self::EndMarker(scan) => scan.feed(bytes),
            Self::Json(scan, _) => scan.feed(bytes),
            Self::Empty | Self::LastChunk(_) => {}
        }
    }

    /// Records that the body stream ended without an error.
    pub(crate) fn stream_ended(&mut self) {
        if let Self::Json(_, last) | Self::LastChunk(last) = self {
            last.end();
        }
    }

    /// Returns true if the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Length(left) => *left == 0,
            Self::EndMarker(scan) => scan.is_complete(),
            Self::Json(scan, last) => scan.is_complete() || *last == LastChunk::Received,
            Self::LastChunk(last) => *last == LastChunk::Received,
        }
    }
}
