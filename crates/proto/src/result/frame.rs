//! One message on the way of a kept answer.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, UnknownReason};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::ByteString;

/// Path of kept answers on the peers' port; the identity of the request follows.
pub const RESULTS_PATH_PREFIX: &str = "/results/";

quick_error! {
    /// A message that is not part of a kept answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ResultCodecError {
        /// The message can't be encoded or decoded.
        Malformed(cause: String) {
            display("malformed part of a kept answer: {cause}")
        }
    }
}

/// One header of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: ByteString,
}

/// Head of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultHead {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers in their order.
    pub headers: Vec<ResultHeader>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ResultEnd {
    /// The answer is whole.
    Answered,
    /// The request was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to ask again.
        retry_after: Option<Duration>,
    },
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// One message on the way of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ResultFrame {
    /// The head. Comes once, before any piece.
    Head(ResultHead),
    /// The next chunk of the body.
    #[serde(rename = "Piece")]
    Chunk(ByteString),
    /// The end. Nothing follows.
    End(ResultEnd),
}

impl ResultFrame {
    /// Encodes the message as CBOR.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_proto::result::{ResultEnd, ResultFrame};
    ///
    /// let frame = ResultFrame::End(ResultEnd::Answered);
    /// assert_eq!(ResultFrame::decode(&frame.encode().unwrap()), Ok(frame));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, ResultCodecError> {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf)
            .map_err(|e| ResultCodecError::Malformed(e.to_string()))?;
        Ok(buf)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message.
    pub fn decode(buf: &[u8]) -> Result<Self, ResultCodecError> {
        ciborium::from_reader(buf).map_err(|e| ResultCodecError::Malformed(e.to_string()))
    }
}
