//! Actions that a pool owner returns to its caller.

use std::time::Duration;

use crate::{
    ids::{HostId, RequestId},
    outcome::NotRunReason,
    request::Grant,
    time::MonoTime,
};

/// One action that the caller of [`super::Pool::handle`] carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolAction {
    /// Send a grant to the entry that holds the request.
    Grant {
        /// The entry.
        entry: HostId,
        /// The grant.
        grant: Grant,
    },
    /// Send a refusal to the entry that holds the request.
    Refuse {
        /// The entry.
        entry: HostId,
        /// The request.
        id: RequestId,
        /// The reason for the refusal.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Call [`super::Pool::handle`] with [`super::PoolInput::Tick`] at this
    /// time.
    SetTimer(MonoTime),
}
