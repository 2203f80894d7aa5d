//! The story of one request, from the logs of all hosts.
//!
//! Reads lines of events, keeps those of the request and those that tell what
//! the hosts believed at the time, and says in sentences what happened and what
//! the cause was. Usable without a command line and without a daemon.

mod cause;
mod line;
mod tale;

pub use self::{cause::Cause, line::LogLine, tale::Story};
