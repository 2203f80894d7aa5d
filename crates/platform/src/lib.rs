//! Interfaces that the scheduler requires of its platform.
//!
//! [`Store`] is the platform's store as a fleet uses it. [`KeyValue`] holds the
//! operators' configuration and the ownership of pools; [`HostList`] shows
//! which runners are draining. The adapter crate implements all three on one
//! store. [`embedded`] is an in-memory [`KeyValue`] for a trial or for tests in
//! one process.

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
