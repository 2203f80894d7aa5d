//! Clients of the platform: the key-value service and the host list.
//!
//! [`KeyValue`] and [`HostList`] are the only ways in which the scheduler
//! reaches the platform. The [`embedded`] implementations serve a first trial
//! and tests in one process; [`etcd`] and [`HttpHostList`] speak to the real
//! services over HTTP. [`Store`] is the store of a platform that hosts whole
//! fleets; its client stands with the other parts of that platform. `docs/design/platform.md` says why these were chosen.

pub mod embedded;
pub mod error;
pub mod etcd;
pub mod hosts;
mod http;
mod http_hosts;
pub mod kv;
mod store;

pub use self::{
    embedded::{EmbeddedHostList, EmbeddedKeyValue},
    error::PlatformError,
    etcd::{EtcdConfig, EtcdKeyValue},
    hosts::{HostList, HostState, ListedHost},
    http_hosts::{HostsDocument, HttpHostList},
    kv::{CasOutcome, KeyValue, KvEvent, LeaseId, Revision, Versioned},
    store::{Changes, Listing, Store, StoreError},
};
