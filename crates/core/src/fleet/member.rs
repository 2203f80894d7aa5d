//! The hosts of the fleet and the election of the coordinator.

use std::{cmp::Reverse, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, HostName};

/// A host's entry in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host and start of its process.
    pub id: HostId,
    /// Address on which other hosts reach it.
    pub address: SocketAddr,
    /// Random number that peers present to prove that they have read this entry.
    pub token: u64,
    /// CPU share in thousandths of a core. Zero if unknown: hosts of earlier
    /// versions do not report it.
    #[serde(default)]
    pub millicores: u32,
    /// Address on which it forwards other hosts' requests to runners; none at hosts of
    /// earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward: Option<SocketAddr>,
}

impl Member {
    /// Returns the CPU share as a class, one step for each doubling. A small
    /// difference is not worth a change of coordinator.
    fn cpu_class(&self) -> u32 {
        u32::BITS - self.millicores.leading_zeros()
    }

    /// Returns the place in the election's order.
    pub(super) fn rank(&self) -> (Reverse<u32>, u64, &HostName) {
        (Reverse(self.cpu_class()), self.id.incarnation, &self.id.name)
    }
}

/// Elects the coordinator: of the hosts with the most CPU, because one host
/// schedules for all, the one that has run longest. A restart therefore moves the
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
///     forward: None,
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
    members.into_iter().min_by(|a, b| a.rank().cmp(&b.rank()))
}
