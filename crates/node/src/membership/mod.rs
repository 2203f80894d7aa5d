//! The key-value service as the cluster uses it.
//!
//! [`OwnershipStore`] carries out the cluster's reads and writes. [`HostLease`]
//! holds this host's lease while the host owns a pool. Neither decides anything:
//! answers go back to [`comfreyway_core::cluster::Cluster`] as inputs.

mod lease;
mod store;

pub use self::{
    lease::{HostLease, LEASE_TTL},
    store::OwnershipStore,
};
