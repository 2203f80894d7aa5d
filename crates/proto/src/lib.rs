//! Types of the HTTP interfaces and messages between processes.
//!
//! - [`caller`] holds the types of the callers' HTTP interface.
//! - [`headers`] names the HTTP headers that the scheduler reads and writes.
//! - [`ini`] reads and writes the INI format of the configuration.
//! - [`operator`] holds the types of the operators' HTTP interface.
//! - [`peer`] holds the messages between daemons.
//! - [`result`] holds the messages that transfer recorded responses between
//!   daemons.

pub mod caller;
pub mod headers;
pub mod ini;
pub mod operator;
pub mod peer;
pub mod result;
