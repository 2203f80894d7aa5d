//! Messages between the owner of a pool and its standby.

use comfreyway_core::{
    ids::{Epoch, PoolId},
    owner::{StandbyEvent, StandbyReply},
};
use serde::{Deserialize, Serialize};

/// An event from the owner of a pool for its standby.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToStandby {
    /// The pool.
    pub pool: PoolId,
    /// Term of the owner.
    pub epoch: Epoch,
    /// The event.
    pub event: StandbyEvent,
}

/// A standby's reply to the owner of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FromStandby {
    /// The pool.
    pub pool: PoolId,
    /// Term of the owner to which the reply goes.
    pub epoch: Epoch,
    /// The reply.
    pub reply: StandbyReply,
}
