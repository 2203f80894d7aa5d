//! Serialization of request identifiers: 32 hexadecimal digits in
//! human-readable formats, 16 bytes in binary ones.
//!
//! Deserialization accepts both forms in any format, because the buffered
//! content of a tagged enum does not record whether its format is
//! human-readable.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};

use crate::ids::RequestId;

impl Serialize for RequestId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_bytes(&self.value().to_be_bytes())
        }
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(RequestIdVisitor)
    }
}

struct RequestIdVisitor;

impl Visitor<'_> for RequestIdVisitor {
    type Value = RequestId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits or 16 bytes")
    }

    fn visit_str<E>(self, text: &str) -> Result<RequestId, E>
    where
        E: de::Error,
    {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<RequestId, E>
    where
        E: de::Error,
    {
        let bytes = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(RequestId::new(u128::from_be_bytes(bytes)))
    }
}
