//! Encoding of the configuration's messages between peers.

use std::{collections::VecDeque, sync::Arc};

use comfreyway_core::config::{AcceptedChange, AcceptedConfig, Document, sync::SyncMessage};
use comfreyway_proto::peer::{ConfigBody, ConfigMessage};
use serde::{Deserialize, Serialize};

use super::codec::{CodecError, SCHEMA};

#[derive(Serialize)]
struct SnapshotBodyRef<'a> {
    schema: u32,
    document: &'a Document,
    history: &'a VecDeque<AcceptedChange>,
}

#[derive(Deserialize)]
struct SnapshotBody {
    schema: u32,
    document: Document,
    history: VecDeque<AcceptedChange>,
}

#[derive(Deserialize, Serialize)]
struct DeltaBody {
    schema: u32,
    changes: Vec<AcceptedChange>,
}

/// Encodes a message.
pub(crate) fn to_wire(message: &SyncMessage) -> Result<ConfigMessage, CodecError> {
    let (version, body) = match message {
        SyncMessage::Announce { version } => (*version, ConfigBody::Announce),
        SyncMessage::Request { have } => (*have, ConfigBody::Request),
        SyncMessage::Delta(changes) => {
            let version = changes.last().map_or(0, |change| change.version);
            let body = DeltaBody { schema: SCHEMA, changes: changes.clone() };
            (version, ConfigBody::Delta(encode(&body)?))
        }
        SyncMessage::Snapshot(accepted) => {
            let (document, history) = (accepted.document(), accepted.history());
            let body = SnapshotBodyRef { schema: SCHEMA, document, history };
            (accepted.version(), ConfigBody::Snapshot(encode(&body)?))
        }
    };
    Ok(ConfigMessage { version, body })
}

/// Decodes a message; none if this release does not know its kind.
pub(crate) fn from_wire(message: ConfigMessage) -> Result<Option<SyncMessage>, CodecError> {
    let ConfigMessage { version, body } = message;
    let decoded = match body {
        ConfigBody::Announce => SyncMessage::Announce { version },
        ConfigBody::Request => SyncMessage::Request { have: version },
        ConfigBody::Delta(text) => {
            let body: DeltaBody = decode(&text)?;
            check_schema(body.schema)?;
            SyncMessage::Delta(body.changes)
        }
        ConfigBody::Snapshot(text) => {
            let body: SnapshotBody = decode(&text)?;
            check_schema(body.schema)?;
            SyncMessage::Snapshot(Arc::new(AcceptedConfig::new(body.document, body.history)))
        }
        ConfigBody::Unknown => return Ok(None),
    };
    Ok(Some(decoded))
}

fn encode<T>(value: &T) -> Result<String, CodecError>
where
    T: Serialize,
{
    serde_json::to_string(value).map_err(|e| CodecError::Malformed("message", e.to_string()))
}

fn decode<'a, T>(text: &'a str) -> Result<T, CodecError>
where
    T: Deserialize<'a>,
{
    serde_json::from_str(text).map_err(|e| CodecError::Malformed("message", e.to_string()))
}

fn check_schema(found: u32) -> Result<(), CodecError> {
    if found == SCHEMA { Ok(()) } else { Err(CodecError::Schema(found)) }
}
