//! The operators' configuration on one host.
//!
//! [`ConfigActor`] runs on the control thread. It reads and writes the stored
//! configuration ([`store`]), exchanges versions with peers as decided by
//! [`comfreyway_core::config::sync`], and publishes the document in force.
//! Everything else uses a [`ConfigHandle`].
//! `docs/design/configuration.md` discusses the store's layout and the protocol.

mod actor;
mod audit;
pub mod codec;
mod gauge;
mod handle;
mod peers;
mod requests;
mod status;
mod store;
mod wire;
mod write;

pub use self::{
    actor::ConfigActor,
    gauge::register_version_gauge,
    handle::ConfigHandle,
    peers::{ConfigSender, NoPeers, split_peer_events},
    requests::ConfigPeerEvent,
    status::ConfigStatus,
};
