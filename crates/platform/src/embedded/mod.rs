//! The platform in memory, for a first trial and for tests in one process.
//!
//! [`MemoryStore`] holds the keys, leases and history under a time that its caller
//! passes in. [`EmbeddedKeyValue`] shares one store between clones and threads
//! and reads the time from a clock.

mod history;
mod key_value;
mod lease;
mod memory_store;

pub use self::{key_value::EmbeddedKeyValue, memory_store::MemoryStore};
