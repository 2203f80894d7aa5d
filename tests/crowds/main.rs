//! Crowds of clients that misbehave, one crowd at a time.
//!
//! A test binary of its own, so that no other test runs beside a crowd.

#![allow(clippy::unwrap_used)]

mod bodies;
mod calm;
mod crowd;
mod embedded;
mod heads;
mod host;
mod responses;

#[path = "../testsuite/fleet/harness.rs"]
#[allow(dead_code, reason = "shared with the testsuite")]
mod harness;
#[path = "../testsuite/support/mod.rs"]
#[allow(dead_code, unused_imports, reason = "shared with the testsuite")]
mod support;
