//! Effects that a pool owner asks for.

use std::time::Duration;

use crate::{
    ids::{HostId, RequestId},
    outcome::NotRunReason,
    request::Grant,
    time::MonoTime,
};

/// An effect of one decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolAction {
    /// Send a grant to the entry that holds the request.
    Grant {
        /// The host that holds the request.
        entry: HostId,
        /// The permission.
        grant: Grant,
    },
    /// Tell the entry that the request will not be granted.
    Refuse {
        /// The host that holds the request.
        entry: HostId,
        /// The request.
        id: RequestId,
        /// Why it is refused.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Call [`super::Pool::handle`] with [`super::PoolInput::Tick`] at this time.
    SetTimer(MonoTime),
}
