//! The single right to dispatch a request with an identity.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, RequestId};

use super::Identity;

/// How far a claimed request may have come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimState {
    /// No grant was ever sent for it.
    Waiting,
    /// A grant was sent, so that the request may have been dispatched. A claim
    /// never returns from here to waiting.
    Granted,
    /// The dispatch ended; the entry keeps the answer for a while.
    Ended,
}

/// The single right to dispatch a request with an identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The identity.
    pub identity: Identity,
    /// The host that holds the request.
    pub entry: HostId,
    /// The request that has the right.
    pub id: RequestId,
    /// How far it may have come.
    pub state: ClaimState,
}
