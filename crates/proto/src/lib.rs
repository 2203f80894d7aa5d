//! Types at the border and messages between processes.
//!
//! - [`caller`] holds the border types of the callers' interface.
//! - [`headers`] names the HTTP headers that the scheduler reads and writes.
//! - [`ini`] reads and writes the configuration as a file for people.
//! - [`operator`] holds the types of the operators' HTTP interface.
//! - [`peer`] holds the messages between daemons.
//! - [`result`] holds kept answers on their way between daemons.

pub mod caller;
pub mod headers;
pub mod ini;
pub mod operator;
pub mod peer;
pub mod result;
