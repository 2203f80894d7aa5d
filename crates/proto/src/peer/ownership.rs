//! Messages that transfer the ownership of a pool.

use comfreyway_core::ids::{Epoch, PoolId};
use serde::{Deserialize, Serialize};

/// A stopping owner hands its pool over to the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// The pool.
    pub pool: PoolId,
    /// Term of the stopping owner.
    pub epoch: Epoch,
}
