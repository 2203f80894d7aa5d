//! Proof that a body arrived whole.
//!
//! The end of a body is never taken from the end of the stream alone. A stream
//! of an engine needs its end mark, a body of declared length its length, and a
//! chunked body its last chunk or, if it is JSON, the end of the text. That the
//! last chunk arrived is known because [`super::strict_stream::StrictStream`]
//! turns every other end of a chunked body into an error.

use actix_web::http::{
    StatusCode,
    header::{self, HeaderMap},
};

use super::{EventScan, json_scan::JsonScan};

/// How the end of a body can be told.
#[derive(Debug)]
pub(crate) enum EndProof {
    /// The answer has no body.
    Empty,
    /// The declared length: bytes that are still to come.
    Length(u64),
    /// The end mark of an engine's stream.
    EndMark(Box<EventScan>),
    /// The end of a JSON text, or the last chunk.
    Json(JsonScan, LastChunk),
    /// The last chunk.
    LastChunk(LastChunk),
}

/// Last chunk of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LastChunk {
    /// The body is not chunked; it ends with its connection, which proves
    /// nothing.
    None,
    /// Still to come.
    Awaited,
    /// Arrived.
    Arrived,
}

impl LastChunk {
    fn new(headers: &HeaderMap) -> Self {
        let value = headers.get(header::TRANSFER_ENCODING).and_then(|value| value.to_str().ok());
        let last = value.and_then(|codings| codings.rsplit(',').next());
        match last {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Awaited,
            _ => Self::None,
        }
    }

    /// The stream of the body ended without an error.
    fn end(&mut self) {
        if *self == Self::Awaited {
            *self = Self::Arrived;
        }
    }
}

/// What the length of an answer is known by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// No body.
    Empty,
    /// Declared length in bytes.
    Length(u64),
    /// Neither.
    Open,
}

impl Framing {
    /// Reads the framing from the head of an answer.
    pub(crate) fn new(is_head: bool, status: StatusCode, headers: &HeaderMap) -> Self {
        if is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::Empty;
        }
        let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => Self::Length(length),
            None => Self::Open,
        }
    }
}

impl EndProof {
    /// The proof that an answer with this head needs. A stream of an engine
    /// needs its end mark whatever its framing.
    pub(crate) fn new(from_engine: bool, framing: Framing, headers: &HeaderMap) -> Self {
        let media_type = media_type(headers);
        match framing {
            Framing::Empty => Self::Empty,
            _ if from_engine && media_type == "text/event-stream" => Self::EndMark(Box::default()),
            Framing::Length(length) => Self::Length(length),
            Framing::Open if is_json(&media_type) => {
                Self::Json(JsonScan::default(), LastChunk::new(headers))
            }
            Framing::Open => Self::LastChunk(LastChunk::new(headers)),
        }
    }

    /// Takes the next bytes of the body.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        match self {
            Self::Length(left) => *left = left.saturating_sub(bytes.len() as u64),
            Self::EndMark(scan) => scan.feed(bytes),
            Self::Json(scan, _) => scan.feed(bytes),
            Self::Empty | Self::LastChunk(_) => {}
        }
    }

    /// Notes that the stream of the body ended without an error.
    pub(crate) fn end(&mut self) {
        if let Self::Json(_, last) | Self::LastChunk(last) = self {
            last.end();
        }
    }

    /// True if the body has arrived whole.
    pub(crate) fn is_whole(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Length(left) => *left == 0,
            Self::EndMark(scan) => scan.is_whole(),
            Self::Json(scan, last) => scan.is_whole() || *last == LastChunk::Arrived,
            Self::LastChunk(last) => *last == LastChunk::Arrived,
        }
    }
}

fn media_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = value.unwrap_or_default().split(';').next().unwrap_or_default();
    media_type.trim().to_ascii_lowercase()
}

fn is_json(media_type: &str) -> bool {
    media_type == "application/json" || media_type.ends_with("+json")
}
