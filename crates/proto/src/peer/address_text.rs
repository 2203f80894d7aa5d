//! Socket addresses as text.
//!
//! The kind of a message is one of its fields, so serde buffers the other
//! fields before it deserializes them. A buffered address deserializes from
//! text only.

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
