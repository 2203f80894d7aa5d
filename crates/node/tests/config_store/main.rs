//! The stored configuration and its spread, with faults at each call of the
//! key-value service.

#![allow(clippy::unwrap_used)]

mod codec;
mod faults;
mod hosts;
mod size;
mod spread;
mod writes;
