//! In-memory implementation of the platform, for a trial or for tests in one
//! process.
//!
//! [`MemoryStore`] holds keys, leases and the history of changes; its callers
//! pass in the current time. [`EmbeddedKeyValue`] shares one store between
//! clones and threads and reads the time from a clock.

mod history;
mod key_value;
mod lease;
mod memory_store;

pub use self::{key_value::EmbeddedKeyValue, memory_store::MemoryStore};
