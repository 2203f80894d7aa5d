//! Storage and distribution of the configuration, with faults at each call of the
//! key-value service.

#![allow(clippy::unwrap_used)]

mod codec;
mod distribution;
mod faults;
mod hosts;
mod size;
mod writes;
