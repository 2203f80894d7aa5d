//! Serving a fleet: callers by host and path, runners found in a store.
//!
//! - [`PlatformFormat`] holds the names and formats of the platform. Nothing else in
//!   this package knows them.
//! - `front` carries traffic: it reads requests, waits for a verdict, sends the
//!   request to a runner and passes the answer on.
//! - `control` holds the state of all decisions ([`comfreyway_core::fleet`]).
//! - `feed` follows the store; the coordinator's hosts hear from it what it
//!   heard (`mirror`), so that few hosts call the store. `registration` keeps this
//!   host's entry there.
//! - `sessions` keeps the connections between hosts; [`wire`] holds the messages.

mod control;
mod counted_store;
mod feed;
mod front;
mod health;
mod knowledge;
mod links;
mod mirror;
mod platform_format;
mod registration;
mod run;
mod sessions;
mod ticket;
pub mod wire;

pub use self::{
    platform_format::{HeaderNames, PlatformFormat, RecordError, StoreKeys},
    run::{FleetPlatform, run},
};
