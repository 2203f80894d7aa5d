//! Types at the border and messages between processes.
//!
//! - [`headers`] names the HTTP headers that the scheduler reads and writes.
//! - [`peer`] holds the messages between daemons.

pub mod headers;
pub mod peer;
