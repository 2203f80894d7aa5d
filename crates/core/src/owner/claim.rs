//! Exclusive right to dispatch a request with an identity.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, RequestId};

use super::Identity;

/// Furthest state that a claimed request may have reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimState {
    /// No grant was sent.
    Waiting,
    /// A grant was sent, so the request may have been dispatched. A claim never
    /// returns to waiting.
    Granted,
    /// The dispatch ended; the entry keeps the response for a limited time.
    Ended,
}

/// Exclusive right to dispatch a request with an identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The identity.
    pub identity: Identity,
    /// The host that holds the request.
    pub entry: HostId,
    /// The request that holds the claim.
    pub id: RequestId,
    /// Furthest state that it may have reached.
    pub state: ClaimState,
}
