//! The traffic path of one daemon, driven over real sockets with an upstream
//! that sends scripted responses.

#![allow(clippy::unwrap_used)]

mod bad_input;
mod dispatch;
mod harness;
mod repeats;
mod reports;
mod scripted_upstream;
mod streams;
