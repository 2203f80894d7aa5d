//! Request identities supplied by callers.

use serde::{Deserialize, Serialize};

use crate::{ids::WorkspaceName, request::RequestRecord};

/// A caller's idempotency key, unique within its workspace.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// The key as the caller sent it.
    pub key: String,
}

/// Identity shared by a request and its repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub digest: [u8; 32],
    /// False if the request must run at most once.
    pub idempotent: bool,
}

/// A request as its entry submits it to the pool's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The request.
    pub record: RequestRecord,
    /// Its identity, if the caller supplied one.
    pub identity: Option<Identity>,
}
