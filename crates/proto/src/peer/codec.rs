//! Encoding of peer messages.

use quick_error::quick_error;

use super::PeerMessage;

/// Largest accepted frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

quick_error! {
    /// Error in encoding or decoding a peer message.
    #[derive(Debug)]
    pub enum CodecError {
        /// The frame is larger than [`MAX_FRAME_BYTES`].
        TooLarge(len: usize) {
            display("frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
        }
        /// The frame can't be encoded or decoded.
        Malformed(cause: String) {
            display("malformed frame: {cause}")
        }
    }
}

/// Encodes a message as CBOR.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_FRAME_BYTES`].
///
/// # Examples
///
/// ```
/// use comfreyway_proto::peer::{PeerMessage, decode, encode};
///
/// let buf = encode(&PeerMessage::Unknown).unwrap();
/// assert_eq!(decode(&buf).unwrap(), PeerMessage::Unknown);
/// ```
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the frame is too large or is not a peer message.
pub fn decode(buf: &[u8]) -> Result<PeerMessage, CodecError> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    ciborium::from_reader(buf).map_err(|e| CodecError::Malformed(e.to_string()))
}
