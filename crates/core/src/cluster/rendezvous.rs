//! Rendezvous hashing of pools over hosts.

use crate::ids::{HostName, PoolId};

/// Orders the candidates for the ownership of `pool`, best first.
///
/// Every host computes the same order from the same set of hosts. A host that
/// joins or leaves moves only the pools for which it comes first.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     cluster::rendezvous_order,
///     ids::{HostName, PoolId},
/// };
///
/// let hosts = ["a", "b", "c"].map(|name| HostName::new(name).unwrap());
/// let pool = PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() };
/// let all = rendezvous_order(&pool, hosts.iter());
/// let fewer = rendezvous_order(&pool, hosts.iter().filter(|&host| host != all[0]));
/// assert_eq!(fewer, all[1..]);
/// ```
pub fn rendezvous_order<'a, I>(pool: &PoolId, hosts: I) -> Vec<&'a HostName>
where
    I: IntoIterator<Item = &'a HostName>,
{
    let mut ranked: Vec<_> = hosts.into_iter().map(|host| (score(pool, host), host)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

fn score(pool: &PoolId, host: &HostName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [pool.upstream.as_str(), pool.region.as_str(), host.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    *hasher.finalize().as_bytes()
}
