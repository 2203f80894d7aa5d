//! Explains a request from the logs of all hosts.
//!
//! Parses log lines with events, orders those of the request, and derives the
//! outcome and its cause from them and from other lines logged around the same
//! time. Needs neither a command line nor a daemon.

mod cause;
mod log_line;
mod timeline;

pub use self::{cause::Cause, log_line::LogLine, timeline::RequestTimeline};
