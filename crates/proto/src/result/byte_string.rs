//! Bytes that are encoded as one byte string.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
};

/// Bytes that are encoded as one byte string instead of a list of numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ByteString(pub Vec<u8>);

impl Serialize for ByteString {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_byte_buf(ByteVisitor)
    }
}

struct ByteVisitor;

impl<'de> Visitor<'de> for ByteVisitor {
    type Value = ByteString;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<ByteString, E>
    where
        E: Error,
    {
        Ok(ByteString(bytes.to_vec()))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<ByteString, E>
    where
        E: Error,
    {
        Ok(ByteString(bytes))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<ByteString, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut bytes = Vec::new();
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(ByteString(bytes))
    }
}
