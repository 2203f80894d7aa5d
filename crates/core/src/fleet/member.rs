//! The hosts of the fleet and the choice of the coordinator.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::HostId;

/// A host as it describes itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name and start of the host's process.
    pub id: HostId,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Proves to this host that a peer has read its entry.
    pub token: u64,
}

/// The host that coordinates: the one that has run longest. Restarts therefore
/// move the role only away from the host that restarts.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{fleet::{Member, elect}, ids::HostId};
///
/// let member = |name: &str, incarnation| Member {
///     id: HostId { name: name.parse().unwrap(), incarnation },
///     address: "127.0.0.1:1".parse().unwrap(),
///     token: 0,
/// };
/// let members = [member("a", 7), member("b", 5), member("c", 9)];
/// assert_eq!(elect(members.iter()).unwrap().id.name.as_str(), "b");
/// ```
pub fn elect<'a, I>(members: I) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members
        .into_iter()
        .min_by(|a, b| (a.id.incarnation, &a.id.name).cmp(&(b.id.incarnation, &b.id.name)))
}
