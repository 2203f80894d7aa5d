//! Messages between daemons: CBOR in binary WebSocket frames.

mod codec;
mod config;
mod message;

pub use self::{
    codec::{CodecError, MAX_FRAME_BYTES, decode, encode},
    config::{ConfigBody, ConfigMessage},
    message::PeerMessage,
};
