//! Encoding of the configuration's values in the key-value service.
//!
//! Every value holds its schema version. A value of another schema is refused, so
//! that an old daemon never drops fields that it does not know.

use std::collections::VecDeque;

use comfreyway_core::config::{AcceptedChange, AcceptedConfig, Document};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Schema version of the stored values.
pub const SCHEMA: u32 = 1;

quick_error! {
    /// Why a stored value can't be used.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CodecError {
        /// The value is malformed.
        Malformed(what: &'static str, cause: String) {
            display("the stored {what} can't be read: {cause}")
        }
        /// The value was written by a later release.
        Schema(found: u32) {
            display("the stored configuration has schema {found}, this release reads {SCHEMA}; \
                     upgrade this daemon")
        }
    }
}

/// Reference to a stored snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRef {
    /// Name of the snapshot; part of the keys of its values.
    pub name: String,
    /// Version of the document.
    pub version: u64,
    /// Number of values that the snapshot is split into.
    pub parts: usize,
}

/// The value that every change replaces by compare-and-swap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Schema version, [`SCHEMA`].
    pub schema: u32,
    /// The version in force.
    pub version: u64,
    /// The snapshot that the history starts from; none for the empty document.
    pub snapshot: Option<SnapshotRef>,
    /// The latest changes, oldest first, without gaps.
    pub history: VecDeque<AcceptedChange>,
}

#[derive(Deserialize)]
struct SchemaOnly {
    schema: u32,
}

#[derive(Deserialize, Serialize)]
struct Snapshot {
    schema: u32,
    document: Document,
}

impl Head {
    /// Creates the head of a configuration whose history starts from `snapshot`.
    #[must_use]
    pub fn new(accepted: &AcceptedConfig, snapshot: Option<SnapshotRef>) -> Self {
        let (version, history) = (accepted.version(), accepted.history().clone());
        Self { schema: SCHEMA, version, snapshot, history }
    }

    /// Returns the changes after `version`, if the history has all of them.
    #[must_use]
    pub fn since(&self, version: u64) -> Option<Vec<AcceptedChange>> {
        let missing = self.version.checked_sub(version)?;
        let changes: Vec<_> =
            self.history.iter().filter(|change| change.version > version).cloned().collect();
        (changes.len() as u64 == missing).then_some(changes)
    }
}

/// Encodes a head.
///
/// # Errors
///
/// Fails if the head has no JSON form.
pub fn encode_head(head: &Head) -> Result<Vec<u8>, CodecError> {
    serde_json::to_vec(head).map_err(|e| CodecError::Malformed("head", e.to_string()))
}

/// Decodes a head.
///
/// # Errors
///
/// Fails if the value is not a head of this schema.
pub fn decode_head(buf: &[u8]) -> Result<Head, CodecError> {
    check_schema("head", buf)?;
    serde_json::from_slice(buf).map_err(|e| CodecError::Malformed("head", e.to_string()))
}

/// Encodes a document.
///
/// # Errors
///
/// Fails if the document has no JSON form.
pub fn encode_snapshot(document: &Document) -> Result<Vec<u8>, CodecError> {
    let snapshot = Snapshot { schema: SCHEMA, document: document.clone() };
    serde_json::to_vec(&snapshot).map_err(|e| CodecError::Malformed("snapshot", e.to_string()))
}

/// Decodes a document.
///
/// # Errors
///
/// Fails if the value is not a document of this schema.
pub fn decode_snapshot(buf: &[u8]) -> Result<Document, CodecError> {
    check_schema("snapshot", buf)?;
    let snapshot: Snapshot = serde_json::from_slice(buf)
        .map_err(|e| CodecError::Malformed("snapshot", e.to_string()))?;
    Ok(snapshot.document)
}

fn check_schema(what: &'static str, buf: &[u8]) -> Result<(), CodecError> {
    let found: SchemaOnly =
        serde_json::from_slice(buf).map_err(|e| CodecError::Malformed(what, e.to_string()))?;
    if found.schema == SCHEMA { Ok(()) } else { Err(CodecError::Schema(found.schema)) }
}
