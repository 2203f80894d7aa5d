//! The traffic path of one daemon, driven over real sockets with an upstream
//! that answers from a script.

#![allow(clippy::unwrap_used)]

mod bad_input;
mod dispatch;
mod repeats;
mod reports;
mod rig;
mod scripted;
mod streams;
