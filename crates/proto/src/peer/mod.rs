//! Messages between daemons: CBOR in binary WebSocket frames.

mod address_text;
mod codec;
mod config;
mod hello;
mod message;
mod ownership;
mod pool;
mod standby;

pub use self::{
    codec::{CodecError, MAX_FRAME_BYTES, decode, encode},
    config::{ConfigBody, ConfigMessage},
    hello::{Hello, PROTOCOL_VERSION},
    message::PeerMessage,
    ownership::HandOver,
    pool::{ToEntry, ToOwner},
    standby::{FromStandby, ToStandby},
};
