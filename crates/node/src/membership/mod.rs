//! The cluster's access to the key-value service.
//!
//! [`OwnershipStore`] reads and writes the cluster's records. [`HostLease`] holds
//! this host's lease while the host owns a pool. Neither makes decisions: results
//! are inputs of [`comfreyway_core::cluster::Cluster`].

mod lease;
mod store;

pub use self::{
    lease::{HostLease, LEASE_TTL},
    store::OwnershipStore,
};
