//! Socket addresses as text.
//!
//! The message's kind is a field of the message, so that its other fields are
//! buffered before they are read. A buffered address can be read from text only.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

pub(super) fn serialize<S>(address: &SocketAddr, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(address)
}

pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<SocketAddr, D::Error>
where
    D: Deserializer<'de>,
{
    String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
}
