//! Messages that transfer a recorded response.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, UnknownReason};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::ByteString;

/// Path prefix of recorded responses on the peers' port; the request's
/// identifier follows.
pub const RESULTS_PATH_PREFIX: &str = "/results/";

quick_error! {
    /// Error in encoding or decoding a [`ResultFrame`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ResultCodecError {
        /// The message can't be encoded or decoded.
        Malformed(cause: String) {
            display("malformed frame of a recorded response: {cause}")
        }
    }
}

/// A header of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: ByteString,
}

/// Head of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultHead {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers in their original order.
    pub headers: Vec<ResultHeader>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ResultEnd {
    /// The response is complete.
    Answered,
    /// The request was not run.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Option<Duration>,
    },
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// A message that transfers part of a recorded response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ResultFrame {
    /// The head. Sent once, before any chunk.
    Head(ResultHead),
    /// The next chunk of the body.
    #[serde(rename = "Piece")]
    Chunk(ByteString),
    /// The end; the last message.
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
