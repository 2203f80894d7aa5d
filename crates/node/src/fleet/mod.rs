//! Serves a fleet: routes callers by host and path to runners listed in a store.
//!
//! - [`PlatformFormat`] holds the header names, store keys and record parsers of
//!   the platform. Nothing else in this package knows them.
//! - `proxy` handles traffic: it reads requests, waits for a decision, sends the
//!   request to a runner and forwards the response.
//! - `forward` sends requests through another host if this one can't reach a runner.
//! - `body` reads requests, and `response_memory` holds responses back, within the account of
//!   all that callers make this host hold.
//! - `control` holds the scheduling state ([`comfreyway_core::fleet`]).
//! - `feed` watches the store. The coordinator forwards the changes to its client
//!   hosts (`mirror`), so that few hosts call the store. `registration` maintains
//!   this host's entry there.
//! - `sessions` maintains the connections between hosts; [`wire`] holds the
//!   messages.

mod body;
mod control;
mod counted_store;
mod feed;
mod forward;
mod health;
mod host_state;
mod lingering_close;
mod mirror;
mod platform_format;
mod proxy;
mod registration;
mod request_handle;
mod response_head;
mod response_memory;
mod run;
mod runner_connections;
mod runner_stream;
mod sessions;
mod unsent;
mod wall_clock;
pub mod wire;

pub use self::{
    platform_format::{HeaderNames, PlatformFormat, RecordError, StoreKeys},
    run::{FleetPlatform, run},
};
