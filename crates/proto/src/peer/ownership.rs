//! Messages on the change of a pool's owner.

use comfreyway_core::ids::{Epoch, PoolId};
use serde::{Deserialize, Serialize};

/// A stopping owner asks the receiver to follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// The pool.
    pub pool: PoolId,
    /// Term of the stopping owner.
    pub epoch: Epoch,
}
