//! Clients of the platform: the key-value service and the host list.
//!
//! [`KeyValue`] and [`HostList`] are the only ways in which the scheduler
//! reaches the platform. The embedded implementations serve a first trial and
//! tests in one process; the HTTP clients speak to the real services.

pub mod error;
pub mod hosts;
pub mod kv;

pub use self::{
    error::PlatformError,
    hosts::{HostList, HostState, ListedHost},
    kv::{CasOutcome, KeyValue, KvEvent, LeaseId, Revision, Versioned},
};
