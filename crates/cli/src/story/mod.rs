//! Explains a request from the logs of all hosts.
//!
//! Parses log lines with events, orders those of the request, and derives the
//! outcome and its cause from them and from other lines logged around the same
//! time. Needs neither a command line nor a daemon.

mod cause;
mod line;
mod tale;

pub use self::{cause::Cause, line::LogLine, tale::Story};
