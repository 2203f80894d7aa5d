//! The hosts of the fleet and the choice of the coordinator.

use std::{cmp::Reverse, net::SocketAddr};

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
    /// Its share of a processor, in thousandths of a core. Zero if it is not
    /// known, as hosts of earlier versions tell none.
    #[serde(default)]
    pub millicores: u32,
}

impl Member {
    /// Twice the processor is one step. A little more is not worth a change.
    fn strength(&self) -> u32 {
        u32::BITS - self.millicores.leading_zeros()
    }
}

/// The host that coordinates: of those with the most processor, as one host
/// decides for all, the one that has run longest. Restarts therefore move the
/// role only away from the host that restarts, or to a stronger one.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{fleet::{Member, elect}, ids::HostId};
///
/// let member = |name: &str, incarnation, millicores| Member {
///     id: HostId { name: name.parse().unwrap(), incarnation },
///     address: "127.0.0.1:1".parse().unwrap(),
///     token: 0,
///     millicores,
/// };
/// let mut members = vec![member("a", 7, 130), member("b", 5, 130), member("c", 9, 200)];
/// assert_eq!(elect(members.iter()).unwrap().id.name.as_str(), "b");
/// members.push(member("d", 11, 500));
/// assert_eq!(elect(members.iter()).unwrap().id.name.as_str(), "d");
/// ```
pub fn elect<'a, I>(members: I) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members.into_iter().min_by_key(|member| {
        (Reverse(member.strength()), member.id.incarnation, member.id.name.clone())
    })
}
