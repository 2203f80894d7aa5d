//! Identities that callers give to requests.

use serde::{Deserialize, Serialize};

use crate::{ids::WorkspaceName, request::RequestRecord};

/// A caller's key. Belongs to its workspace.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// The key as the caller sent it.
    pub key: String,
}

/// Identity of a request over all of its repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The caller's key.
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
    /// Its identity, if the caller gave one.
    pub identity: Option<Identity>,
}
