//! Messages of the etcd v3 JSON gateway.
//!
//! The gateway writes 64-bit numbers as text, bytes as base64, and leaves out
//! fields that hold their default.

use serde::{Deserialize, Serialize};

pub use super::{
    prefix::{prefix_end, prefix_start},
    scalar::{Base64, Int64},
};

macro_rules! messages {
    ($($(#[$meta:meta])* $name:ident {
        $($(#[$fmeta:meta])* $field:ident: $ty:ty,)*
    })+) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
        #[serde(default)]
        pub struct $name {
            $($(#[$fmeta])* pub $field: $ty,)*
        }
    )+};
}

messages! {
    /// Header of every reply.
    ResponseHeader {
        /// Revision of the store.
        revision: Int64,
    }
    /// One key with its value.
    KeyRecord {
        /// The key.
        key: Base64,
        /// Revision of the last write.
        mod_revision: Int64,
        /// The value.
        value: Base64,
        /// The lease, or zero.
        lease: Int64,
    }
    /// Body of `/v3/kv/range`.
    RangeRequest {
        /// First key.
        key: Base64,
        /// End of the keys, exclusive; empty for one key.
        #[serde(skip_serializing_if = "Base64::is_empty")]
        range_end: Base64,
    }
    /// Reply of `/v3/kv/range`.
    RangeResponse {
        /// Header.
        header: ResponseHeader,
        /// The keys that were found.
        kvs: Vec<KeyRecord>,
        /// Number of keys.
        count: Int64,
    }
    /// A write within a transaction.
    PutRequest {
        /// The key.
        key: Base64,
        /// The value.
        value: Base64,
        /// The lease, or zero.
        lease: Int64,
    }
    /// A deletion within a transaction.
    DeleteRangeRequest {
        /// The key.
        key: Base64,
    }
    /// Reply to a write or deletion within a transaction.
    WriteResponse {
        /// Header.
        header: ResponseHeader,
    }
    /// A condition on the revision of a key.
    Compare {
        /// The key.
        key: Base64,
        /// Always `MOD`.
        target: String,
        /// Always `EQUAL`.
        result: String,
        /// The revision that is expected; zero for a missing key.
        mod_revision: Int64,
    }
    /// Body of `/v3/kv/txn`.
    TxnRequest {
        /// Conditions, all of which must hold.
        compare: Vec<Compare>,
        /// Operations if they hold.
        success: Vec<RequestOp>,
        /// Operations if they don't.
        failure: Vec<RequestOp>,
    }
    /// Reply of `/v3/kv/txn`.
    TxnResponse {
        /// Header.
        header: ResponseHeader,
        /// True if the conditions held.
        succeeded: bool,
        /// Replies to the operations.
        responses: Vec<ResponseOp>,
    }
    /// Body of `/v3/lease/grant`.
    LeaseGrantRequest {
        /// Time to live in seconds.
        #[serde(rename = "TTL")]
        ttl: Int64,
    }
    /// Body of `/v3/lease/keepalive` and `/v3/lease/revoke`.
    LeaseRequest {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int64,
    }
    /// Reply of `/v3/lease/grant` and `/v3/lease/keepalive`.
    LeaseResponse {
        /// Header.
        header: ResponseHeader,
        /// The lease.
        #[serde(rename = "ID")]
        id: Int64,
        /// Time left in seconds; zero for a lapsed lease.
        #[serde(rename = "TTL")]
        ttl: Int64,
    }
    /// Body of `/v3/watch`.
    WatchRequest {
        /// The watch to start.
        create_request: WatchCreateRequest,
    }
    /// A watch to start.
    WatchCreateRequest {
        /// First key.
        key: Base64,
        /// End of the keys, exclusive.
        #[serde(skip_serializing_if = "Base64::is_empty")]
        range_end: Base64,
        /// First revision to report.
        start_revision: Int64,
    }
    /// One message of a watch.
    WatchResponse {
        /// Header.
        header: ResponseHeader,
        /// True in the first message.
        created: bool,
        /// True if the service ended the watch.
        canceled: bool,
        /// Oldest revision that can be watched, if the watch asked for less.
        compact_revision: Int64,
        /// The changes.
        events: Vec<Event>,
    }
    /// A change.
    Event {
        /// Write or deletion.
        #[serde(rename = "type")]
        kind: EventKind,
        /// The key; without a value after a deletion.
        kv: KeyRecord,
    }
    /// Body of a refused call.
    ErrorBody {
        /// Text of the error.
        error: String,
        /// Status code of gRPC.
        code: i32,
    }
}

/// An operation within a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Write a key.
    RequestPut(PutRequest),
    /// Read keys.
    RequestRange(RangeRequest),
    /// Delete a key.
    RequestDeleteRange(DeleteRangeRequest),
}

/// The reply to an operation within a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// A key was written.
    ResponsePut(WriteResponse),
    /// Keys were read.
    ResponseRange(RangeResponse),
    /// A key was deleted.
    ResponseDeleteRange(WriteResponse),
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// A key was written.
    #[default]
    Put,
    /// A key was deleted.
    Delete,
}

/// One message of a streamed reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Streamed<T> {
    /// A message.
    Result(T),
    /// The end of the stream by an error.
    Error(ErrorBody),
}
