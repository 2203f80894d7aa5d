//! What the scheduler needs of its platform.
//!
//! [`Store`] is the store of a platform that hosts whole fleets. [`KeyValue`]
//! and [`HostList`] are what the product's own interface needs; the same store
//! gives both. The clients stand with the other parts of the users' platform.
//! The [`embedded`] implementation serves a first trial and tests in one
//! process.

pub mod embedded;
pub mod error;
pub mod hosts;
pub mod kv;
mod store;

pub use self::{
    embedded::EmbeddedKeyValue,
    error::PlatformError,
    hosts::{HostList, HostState, ListedHost},
    kv::{CasOutcome, KeyValue, KvEvent, LeaseId, Revision, Versioned},
    store::{Changes, Listing, Page, Store, StoreError},
};
