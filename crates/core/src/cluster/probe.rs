//! Selection of the hosts that a host probes: it keeps a session with them
//! whatever pools it uses.

use crate::ids::HostName;

/// Maximum number of hosts that a host probes besides the owners of the pools
/// that it uses.
pub const MAX_PROBE_TARGETS: usize = 8;

/// Hosts that `me` probes: the next ones on a ring ordered by hash. Every host
/// is probed by as many hosts as it probes, and with up to nine hosts each
/// probes all others.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{cluster::probe_targets, ids::HostName};
///
/// let hosts = ["a", "b", "c"].map(|name| HostName::new(name).unwrap());
/// assert_eq!(probe_targets(&hosts[0], hosts.iter()).len(), 2);
/// ```
pub fn probe_targets<'a, I>(me: &HostName, hosts: I) -> Vec<&'a HostName>
where
    I: IntoIterator<Item = &'a HostName>,
{
    let position = |host: &HostName| *blake3::hash(host.as_str().as_bytes()).as_bytes();
    let own_position = position(me);
    let mut ring: Vec<_> = hosts
        .into_iter()
        .filter(|host| *host != me)
        .map(|host| (position(host) < own_position, position(host), host))
        .collect();
    ring.sort();
    ring.into_iter().take(MAX_PROBE_TARGETS).map(|(_, _, host)| host).collect()
}
