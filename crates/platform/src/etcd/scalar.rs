//! Numbers and bytes as the gateway writes them.

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// A 64-bit number, written as text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Repr {
            Number(i64),
            Text(String),
        }
        match Repr::deserialize(deserializer)? {
            Repr::Number(n) => Ok(Self(n)),
            Repr::Text(s) => s.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// Bytes, written as base64.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Base64(pub Vec<u8>);

impl Base64 {
    /// True if there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Base64 {
    fn from(s: &str) -> Self {
        Self(s.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}
